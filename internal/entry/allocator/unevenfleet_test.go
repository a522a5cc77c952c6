package allocator_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/batch/pacer"
	"fescuebank/internal/endpoint/profiler"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/timing/timekeeper"
)

// unevenInstance is an instance of an uneven fleet. Owners have a pacer.
type unevenInstance struct {
	allocator *allocator.Allocator
	profiler  *profiler.Profiler
	zone      fescuebank.Zone
	own       publishedCounts
	// read is the number of messages that it has received.
	read int
	// idle holds when its idle connections to each endpoint expire.
	mu   sync.Mutex
	idle map[fescuebank.EndpointID][]time.Time

	pacer    *pacer.Pacer
	others   int
	running  []*unevenWork
	pending  []int
	nextItem time.Time
}

// unevenWork is a request or an item at an endpoint.
type unevenWork struct {
	instance  *unevenInstance
	slot      *allocator.Slot
	arrival   *arrival
	timer     *profiler.Work
	arrived   time.Time
	left      int
	begun     bool
	cancelled bool
	next      *time.Timer
}

// unevenMessage is a message between instances.
type unevenMessage struct {
	at     time.Time
	from   *unevenInstance
	gossip fescuebank.Gossip
}

// unevenFleet simulates instances in three zones and endpoints that differ in speed.
type unevenFleet struct {
	load      unevenLoad
	random    *rand.Rand
	began     time.Time
	lag       time.Duration
	instances []*unevenInstance
	entries   int
	messages  []unevenMessage
	sums      []publishedCounts
	list      []fescuebank.ServedEndpoint
	slowAt    map[fescuebank.EndpointID]map[int]bool
	lasting   map[fescuebank.EndpointID]float64

	mu        sync.Mutex
	endpoints map[fescuebank.EndpointID]*simulatedEndpoint
	result    unevenResult
}

func zone(i int) fescuebank.Zone {
	return fescuebank.Zone("z" + string(rune('a'+i%3)))
}

func newUnevenFleet(entries, owners, count int, lag time.Duration, load unevenLoad) *unevenFleet {
	f := &unevenFleet{
		load: load, random: rand.New(rand.NewPCG(9, 9)), began: time.Now(), lag: lag, entries: entries, list: endpoints(count, 8),
		endpoints: make(map[fescuebank.EndpointID]*simulatedEndpoint), slowAt: make(map[fescuebank.EndpointID]map[int]bool),
		lasting: make(map[fescuebank.EndpointID]float64),
	}
	for i := range f.list {
		e := &f.list[i]
		e.Zone = zone(i / fastEvery)
		f.endpoints[e.ID] = &simulatedEndpoint{slots: e.Slots}
		f.lasting[e.ID] = 1
		if i%fastEvery == 0 {
			f.lasting[e.ID] = fastPace
		}
		f.slowAt[e.ID] = make(map[int]bool)
		for m := range int(2 * unevenLength / momentLength) {
			f.slowAt[e.ID][m] = f.random.Float64() < momentShare
			if load.turnsSlow && f.isTurning(e.ID) {
				f.slowAt[e.ID][m] = m >= slowFrom && m < slowUntil
			}
		}
	}
	for i := range entries + owners {
		in := &unevenInstance{zone: zone(i), idle: make(map[fescuebank.EndpointID][]time.Time)}
		in.allocator = allocator.New(timekeeper.Timekeeper{}, func() {})
		in.profiler = profiler.New(profiler.Config{Clock: timekeeper.Timekeeper{}, OnReport: in.allocator.ObserveReport, Log: hclog.NewNullLogger()})
		in.profiler.SetEndpoints(f.list)
		if load.paces {
			in.allocator.SetPaces(in.profiler)
		}
		in.allocator.SetEndpoints(f.list)
		if i >= entries {
			in.pacer = pacer.New()
			in.nextItem = f.began.Add(time.Duration(f.random.Float64() * float64(f.itemInterval(owners))))
		}
		f.instances = append(f.instances, in)
	}
	return f
}

// isTurning reports whether an endpoint turns slow: the first ones that aren't fast do.
func (f *unevenFleet) isTurning(id fescuebank.EndpointID) bool {
	return slices.ContainsFunc(f.list[1:1+turningSlow], func(e fescuebank.ServedEndpoint) bool { return e.ID == id })
}

func (f *unevenFleet) itemInterval(owners int) time.Duration {
	return time.Duration(float64(owners) / max(0.001, f.load.items) * float64(time.Second))
}

// pace returns how long work takes at an endpoint now.
func (f *unevenFleet) pace(id fescuebank.EndpointID) float64 {
	if f.slowAt[id][int(time.Since(f.began)/momentLength)] {
		return f.lasting[id] * momentFactor
	}
	return f.lasting[id]
}

// occupy makes requests that nobody counts hold slots at all endpoints for a time.
func (f *unevenFleet) occupy(count int, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		for range count {
			a := &arrival{start: func() {}}
			e.arrive(a)
			time.AfterFunc(d, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				e.leave(a)
			})
		}
	}
}

// exchange publishes the counts of an instance and gives it those of the others as of half the lag
// ago, as their messages.
func (f *unevenFleet) exchange(in *unevenInstance, now time.Time) {
	before := in.own
	counts, waiting := in.allocator.Counts()
	next := publishedCounts{counts: counts, waiting: waiting, starts: in.allocator.Started()}
	if in.pacer != nil {
		next.waiting, next.batch = 0, counts.Sum()
	}
	in.own = next
	sum := publishedCounts{at: now, counts: make(fescuebank.EndpointCounts)}
	if len(f.sums) > 0 {
		last := f.sums[len(f.sums)-1]
		sum.counts.Add(last.counts)
		sum.waiting, sum.batch, sum.starts = last.waiting, last.batch, last.starts
	}
	sum.counts.Subtract(before.counts)
	sum.counts.Add(next.counts)
	sum.waiting += next.waiting - before.waiting
	sum.batch += next.batch - before.batch
	sum.starts += next.starts - before.starts
	f.sums = append(f.sums, sum)
	for len(f.sums) > 1 && now.Sub(f.sums[1].at) >= f.lag/2 {
		f.sums = f.sums[1:]
	}
	m := unevenMessage{at: now, from: in}
	in.profiler.FillGossip(&m.gossip)
	f.messages = append(f.messages, m)
	for ; now.Sub(f.messages[in.read].at) >= f.lag/2; in.read++ {
		if m := &f.messages[in.read]; m.from != in {
			in.profiler.ApplyGossip(&m.gossip)
		}
	}
	known := f.sums[0]
	others := make(fescuebank.EndpointCounts)
	others.Add(known.counts)
	others.Subtract(before.counts)
	for tag, n := range others {
		others[tag] = max(0, n)
	}
	in.others = max(0, known.batch-before.batch)
	in.allocator.SetPeerStarts(known.starts, f.lag)
	in.allocator.SetPeerCounts(others, max(0, known.waiting-before.waiting), in.others)
}

// request sends one online request through a random entry.
func (f *unevenFleet) request() {
	arrived := time.Now()
	in := f.instances[f.random.IntN(f.entries)]
	events := minEvents + f.random.IntN(maxEvents-minEvents+1)
	go func() {
		slot, err := in.allocator.Acquire(context.Background(), allocator.SlotRequest{
			Service: "s", Deadline: arrived.Add(waveObjective * 3 / 4), ReconsiderAt: arrived.Add(waveObjective / 5),
		})
		f.mu.Lock()
		defer f.mu.Unlock()
		f.result.requests++
		if err != nil {
			f.result.refused++
			return
		}
		f.countPlace(in, slot)
		f.begin(&unevenWork{instance: in, slot: slot, arrived: arrived, left: events})
	}()
}

// countPlace counts where a request goes. The caller holds the lock.
func (f *unevenFleet) countPlace(in *unevenInstance, slot *allocator.Slot) {
	id := slot.Endpoint.ID
	if e := f.endpoints[id]; e.running >= e.slots {
		f.result.full++
	}
	if f.lasting[id] < 1 {
		f.result.fast++
	}
	if f.isTurning(id) {
		f.result.atTurning[time.Since(f.began)/momentLength]++
	}
	if slot.Endpoint.Zone == in.zone {
		f.result.ownZone++
	}
	if in.takeConnection(id) {
		f.result.reused++
	}
}

// connected reports whether the instance has an idle connection to an endpoint.
func (in *unevenInstance) connected(id fescuebank.EndpointID) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.idle[id] = slices.DeleteFunc(in.idle[id], func(t time.Time) bool { return !t.After(time.Now()) })
	return len(in.idle[id]) > 0
}

// takeConnection takes an idle connection to an endpoint if there is one.
func (in *unevenInstance) takeConnection(id fescuebank.EndpointID) bool {
	if !in.connected(id) {
		return false
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.idle[id] = in.idle[id][1:]
	return true
}

// keepConnection keeps a connection to an endpoint that has become idle.
func (in *unevenInstance) keepConnection(id fescuebank.EndpointID) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.idle[id] = append(in.idle[id], time.Now().Add(keepAliveTime))
}

// simulate runs the load.
func (f *unevenFleet) simulate() *unevenResult {
	if f.load.lostRequests > 0 {
		f.occupy(f.load.lostRequests, 2*time.Second)
	}
	step := f.lag / 3 / time.Duration(len(f.instances))
	nextRequest := f.began
	for n := 0; time.Since(f.began) < unevenLength; n++ {
		now := time.Now()
		in := f.instances[n%len(f.instances)]
		f.exchange(in, now)
		if in.pacer != nil {
			f.runItems(in, now)
		}
		for !nextRequest.After(now) {
			f.request()
			share := 1.0
			if f.load.wave {
				share = crestShare
				if nextRequest.Sub(f.began)%(troughTime+crestTime) < troughTime {
					share = troughShare
				}
			}
			nextRequest = nextRequest.Add(time.Duration(f.random.ExpFloat64() / (f.load.mean * share) * float64(time.Second)))
		}
		time.Sleep(step)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	result := f.result
	result.totals = slices.Clone(f.result.totals)
	return &result
}
