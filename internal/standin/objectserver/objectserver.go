// Package objectserver stands in for the platform: its object API and its
// lagging list of instances, with faults that can be switched on.
package objectserver

import (
	"slices"
	"strings"
	"sync"
	"time"

	"fescuebank"
)

// historyLength bounds the events a watch can resume over.
const historyLength = 4096

// Faults are the platform's switchable failures.
type Faults struct {
	// Down refuses every call without effect.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// LoseWriteReplies makes this many writes take effect without an answer.
	LoseWriteReplies int `json:"loseWrites"`
	// EndWatches ends watches at once without an event.
	EndWatches bool `json:"endWatches"`
	// SkipEvents drops this many events from watches.
	SkipEvents int `json:"skipEvents"`
	// ListLag is how far the instance list lies behind.
	ListLag time.Duration `json:"listLag"`
	// CallsPerSecond caps the calls; 0 means no cap.
	CallsPerSecond float64 `json:"callsPerSecond"`
}

// Calls counts the calls to the stand-in. A waiting watch counts as one.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Refused int64 `json:"refused"`
}

// ObjectServer keeps objects in memory. It is a fescuebank.ObjectStore behind HTTP.
type ObjectServer struct {
	clock fescuebank.Clock

	mu sync.Mutex
	// objects holds the live objects by key.
	objects map[string]fescuebank.Object
	// version is that of the newest write.
	version fescuebank.StoreVersion
	// history holds the newest events, oldest first.
	history []fescuebank.Object
	// changed is closed and replaced at each write.
	changed chan struct{}
	listed  []listing
	faults  Faults
	calls   Calls
	// bucket holds the calls that CallsPerSecond still allows.
	bucket     float64
	bucketTime time.Time
	// prefixCalls counts writes by the first segment of their key.
	prefixCalls map[string]int64
}

// listing is an announced state of an instance and when it was announced.
type listing struct {
	instance fescuebank.ListedInstance
	since    time.Time
	former   *fescuebank.ListedInstance
}

// New returns an empty platform.
func New(clock fescuebank.Clock) *ObjectServer {
	return &ObjectServer{
		clock:       clock,
		objects:     make(map[string]fescuebank.Object),
		changed:     make(chan struct{}),
		bucketTime:  clock.Now(),
		prefixCalls: make(map[string]int64),
	}
}

// SetFaults replaces the switched-on failures.
func (p *ObjectServer) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wake()
}

// Calls returns the calls so far.
func (p *ObjectServer) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// WritesByPrefix returns the writes so far by the first segment of their key.
func (p *ObjectServer) WritesByPrefix() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	copied := make(map[string]int64, len(p.prefixCalls))
	for prefix, n := range p.prefixCalls {
		copied[prefix] = n
	}
	return copied
}

// wake lets waiting watches look again. The caller holds mu.
func (p *ObjectServer) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// allow counts a call and reports whether the rate cap lets it through. The
// caller holds mu.
func (p *ObjectServer) allow() bool {
	if p.faults.CallsPerSecond <= 0 {
		return true
	}
	now := p.clock.Now()
	p.bucket += now.Sub(p.bucketTime).Seconds() * p.faults.CallsPerSecond
	p.bucket = min(p.bucket, p.faults.CallsPerSecond)
	p.bucketTime = now
	if p.bucket < 1 {
		p.calls.Refused++
		return false
	}
	p.bucket--
	return true
}

// get returns the object of key.
func (p *ObjectServer) get(key string) (fescuebank.Object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Reads++
	o, ok := p.objects[key]
	return o, ok
}

// list returns the objects below prefix by key, and the store's version.
func (p *ObjectServer) list(prefix string) ([]fescuebank.Object, fescuebank.StoreVersion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Reads++
	var found []fescuebank.Object
	for key, o := range p.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b fescuebank.Object) int { return strings.Compare(a.Key, b.Key) })
	return found, p.version
}

// write applies a conditional write. It returns the outcome and whether the
// answer is to be lost.
func (p *ObjectServer) write(o fescuebank.Object, expected fescuebank.StoreVersion) (version fescuebank.StoreVersion, lost bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Writes++
	prefix, _, _ := strings.Cut(o.Key, "/")
	p.prefixCalls[prefix]++
	if fescuebank.Bytes(len(o.Value)) > fescuebank.MaxValue {
		return 0, false, fescuebank.ErrTooLarge
	}
	if p.objects[o.Key].Version != expected {
		return 0, false, fescuebank.ErrVersion
	}
	p.version++
	o.Version = p.version
	if o.Deleted {
		delete(p.objects, o.Key)
	} else {
		p.objects[o.Key] = o
	}
	p.record(o)
	lost = p.faults.LoseWriteReplies > 0
	if lost {
		p.faults.LoseWriteReplies--
	}
	return o.Version, lost, nil
}

// record appends an event for watches. The caller holds mu.
func (p *ObjectServer) record(o fescuebank.Object) {
	if p.faults.SkipEvents > 0 {
		p.faults.SkipEvents--
		return
	}
	p.history = append(p.history, o)
	if len(p.history) > historyLength {
		p.history = slices.Clone(p.history[len(p.history)-historyLength/2:])
	}
	p.wake()
}

// since returns the events below prefix after version from, and a channel that
// closes at the next change. It fails if the history no longer reaches back.
func (p *ObjectServer) since(prefix string, from fescuebank.StoreVersion) ([]fescuebank.Object, fescuebank.StoreVersion, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.history) > 0 && p.history[0].Version > from+1 && p.version > fescuebank.StoreVersion(len(p.history)) {
		return nil, 0, nil, fescuebank.ErrWatchLost
	}
	var events []fescuebank.Object
	for _, o := range p.history {
		if o.Version > from && strings.HasPrefix(o.Key, prefix) {
			events = append(events, o)
		}
	}
	return events, p.version, p.changed, nil
}

// announce records the state of an instance.
func (p *ObjectServer) announce(i fescuebank.ListedInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for n, l := range p.listed {
		if l.instance.ID != i.ID {
			continue
		}
		former := l.instance
		if now.Sub(l.since) < p.faults.ListLag {
			p.listed[n] = listing{instance: i, since: l.since, former: l.former}
			return
		}
		p.listed[n] = listing{instance: i, since: now, former: &former}
		return
	}
	p.listed = append(p.listed, listing{instance: i, since: now})
}

// instances returns the list as it was ListLag ago.
func (p *ObjectServer) instances() []fescuebank.ListedInstance {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Reads++
	var list []fescuebank.ListedInstance
	for _, l := range p.listed {
		shown := &l.instance
		if p.clock.Now().Sub(l.since) < p.faults.ListLag {
			shown = l.former
		}
		if shown != nil {
			list = append(list, *shown)
		}
	}
	return list
}

// Remove takes an instance off the list, as the platform does once it is gone.
func (p *ObjectServer) RemoveInstance(id fescuebank.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = slices.DeleteFunc(p.listed, func(l listing) bool { return l.instance.ID == id })
}

// Has reports whether an object exists.
func (p *ObjectServer) HasObject(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.objects[key]
	return ok
}
