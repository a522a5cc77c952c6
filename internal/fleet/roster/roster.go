// Package roster knows the instances of the fleet: it keeps this instance's
// entry in the store and exchanges news with all others.
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"fescuebank"
	"fescuebank/internal/wire/linker"
)

const (
	// beatInterval is the longest time between two messages to a peer.
	beatInterval = 250 * time.Millisecond
	// changeInterval is the least time between two messages to a peer.
	changeInterval = 15 * time.Millisecond
	// suspectAfter is how long a peer may be silent before it is left out.
	suspectAfter = 900 * time.Millisecond
	// deafAfter is how long a peer may fail to hear this instance before the
	// connection to it is made anew.
	deafAfter = 900 * time.Millisecond
	// removeAfter is how long a peer is silent before its entry is removed.
	removeAfter = 30 * time.Second
	// entryLife is how long a change of a peer's entry shows that the peer lives.
	entryLife = 2500 * time.Millisecond
	// entryBeat is how often an owner changes its entry while others are silent.
	entryBeat = time.Second
	// entryBeatFor is for how long it does so after the last sign of a peer.
	entryBeatFor = 15 * time.Second
	// registerRetry is the pause between attempts to write the entry.
	registerRetry = 300 * time.Millisecond
)

// Config is what a roster works with.
type Config struct {
	Self   fescuebank.MemberEntry
	Store  fescuebank.ObjectStore
	Linker *linker.Linker
	Clock  fescuebank.Clock
	Log    hclog.Logger
	// Fill completes the news of this instance.
	Fill func(*fescuebank.News)
	// Heard is called after a peer's news was taken in.
	Heard func(*fescuebank.News)
	// Told is called when a peer tells that a run acknowledged an epoch.
	Told func(fescuebank.Holder, fescuebank.FencingNumber)
	// Silent is called when connections fell silent without being closed.
	Silent func()
}

// Roster tracks the members.
type Roster struct {
	Config
	kick chan struct{}

	mu       sync.Mutex
	sequence uint64
	// members are all but this instance.
	members map[fescuebank.InstanceID]*member
	// entryLost is set when the store doesn't show this run's entry.
	entryLost bool
	// version is the store's of this run's entry.
	version fescuebank.StoreVersion
}

// member is what is known of a peer.
type member struct {
	entry fescuebank.MemberEntry
	// version is the store's of the entry.
	version fescuebank.StoreVersion
	// known is when the entry was first seen, heard when the last news came.
	known time.Time
	heard time.Time
	news  fescuebank.News
	// sequence is the newest of the peer's messages that anybody received, and
	// sign when that or a change of the entry was learned.
	sequence uint64
	sign     time.Time
	changed  time.Time
	// echo is the newest of our messages that the peer confirmed, and echoed
	// when that was.
	echo   uint64
	echoed time.Time
	// dropped is when the connection to the peer was last made anew.
	dropped time.Time
	// silent is set while the peer's connection is suspected to have fallen silent.
	silent bool
}

// New returns a roster that knows nobody.
func New(c Config) *Roster {
	r := &Roster{
		Config: c, kick: make(chan struct{}, 1),
		members: make(map[fescuebank.InstanceID]*member), entryLost: true,
	}
	c.Linker.HandleNotice(fescuebank.KindNews, r.hear)
	return r
}

// Kick sends news soon.
func (r *Roster) Kick() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// Apply takes in the entries of the store.
func (r *Roster) Apply(objects []fescuebank.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	seen := make(map[fescuebank.InstanceID]bool)
	r.entryLost = true
	for _, o := range objects {
		var e fescuebank.MemberEntry
		if err := json.Unmarshal(o.Value, &e); err != nil || o.Key != fescuebank.MemberPrefix+string(e.ID) {
			r.Log.Warn("Entry of an instance is left out.", "key", o.Key)
			continue
		}
		if e.ID == r.Self.ID {
			r.entryLost = e.Incarnation != r.Self.Incarnation
			r.version = max(r.version, o.Version)
			continue
		}
		seen[e.ID] = true
		r.meet(e, o.Version, now)
	}
	for id, m := range r.members {
		if !seen[id] {
			r.Log.Info("Instance is gone.", "peer", string(id))
			r.Linker.Forget(m.entry.PeerAddr)
			delete(r.members, id)
		}
	}
}

// meet takes in the entry of a peer. A new run starts with nothing known.
func (r *Roster) meet(e fescuebank.MemberEntry, version fescuebank.StoreVersion, now time.Time) {
	m := r.members[e.ID]
	if m != nil && m.entry.Incarnation == e.Incarnation {
		if version > m.version {
			m.version, m.changed = version, now
		}
		return
	}
	if m != nil && m.entry.PeerAddr != e.PeerAddr {
		r.Linker.Forget(m.entry.PeerAddr)
	}
	next := &member{entry: e, version: version, known: now}
	if m != nil && m.news.Incarnation == e.Incarnation {
		next.news, next.heard, next.echo, next.echoed = m.news, m.heard, m.echo, m.echoed
	}
	r.members[e.ID] = next
	r.Log.Info("Instance is known.", "peer", string(e.ID), "incarnation", string(e.Incarnation), "addr", e.PeerAddr)
}

// hear takes in the news of a peer.
func (r *Roster) hear(decode func(into any) error) {
	var n fescuebank.News
	if err := decode(&n); err != nil {
		r.Log.Warn("News not read.", "err", err.Error())
		return
	}
	now := r.Clock.Now()
	r.mu.Lock()
	m := r.members[n.From]
	if m == nil || (m.news.Incarnation == n.Incarnation && n.Sequence <= m.news.Sequence) {
		r.mu.Unlock()
		return
	}
	if m.silent {
		m.silent = false
		r.Log.Info("Instance is heard again.", "peer", string(n.From))
	}
	m.heard, m.news = now, n
	if echo := n.Heard[r.Self.ID]; echo.Incarnation == r.Self.Incarnation && echo.Sequence > m.echo {
		m.echo, m.echoed = echo.Sequence, now
	}
	told := r.hearsay(&n, now)
	r.mu.Unlock()
	for h, epoch := range told {
		r.Told(h, epoch)
	}
	r.Heard(&n)
}

// hearsay takes in what a peer heard of others, and returns the epochs that they
// acknowledged. The caller holds the lock.
func (r *Roster) hearsay(n *fescuebank.News, now time.Time) map[fescuebank.Holder]fescuebank.FencingNumber {
	told := make(map[fescuebank.Holder]fescuebank.FencingNumber)
	for id, of := range n.Heard {
		m := r.members[id]
		if m == nil || m.entry.Incarnation != of.Incarnation || of.Sequence <= m.sequence {
			continue
		}
		m.sequence, m.sign = of.Sequence, now
		told[fescuebank.Holder{ID: id, Incarnation: of.Incarnation}] = of.Epoch
	}
	return told
}

// Run keeps the entry and exchanges news until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	go r.register(ctx)
	beat := r.Clock.Now()
	for ctx.Err() == nil {
		full := !r.Clock.Now().Before(beat)
		if full {
			beat = r.Clock.Now().Add(beatInterval)
			r.check(ctx)
		}
		r.send(full)
		_ = fescuebank.Sleep(ctx, r.Clock, changeInterval)
		select {
		case <-ctx.Done():
		case <-r.kick:
		case <-r.Clock.After(beat.Sub(r.Clock.Now())):
		}
	}
}

// Send sends the news at once.
func (r *Roster) Send() {
	r.send(true)
}

func (r *Roster) send(full bool) {
	n := fescuebank.News{From: r.Self.ID, Incarnation: r.Self.Incarnation}
	r.Fill(&n)
	r.mu.Lock()
	r.sequence++
	n.Sequence = r.sequence
	addrs := make([]string, 0, len(r.members))
	if full {
		n.Heard = make(map[fescuebank.InstanceID]fescuebank.HeardOf, len(r.members))
	}
	for id, m := range r.members {
		addrs = append(addrs, m.entry.PeerAddr)
		if full && m.news.Sequence > 0 {
			n.Heard[id] = fescuebank.HeardOf{Incarnation: m.news.Incarnation, Sequence: m.news.Sequence, Epoch: m.news.Epoch}
		}
	}
	r.mu.Unlock()
	body, err := linker.Encode(&n)
	if err != nil {
		r.Log.Error("News not encoded.", "err", err.Error())
		return
	}
	for _, addr := range addrs {
		r.Linker.Notify(addr, fescuebank.KindNews, body)
	}
}

// check makes connections anew that seem to have fallen silent, and removes the
// entries of peers that are long gone.
func (r *Roster) check(ctx context.Context) {
	now := r.Clock.Now()
	r.mu.Lock()
	var drop []string
	var remove []*member
	silent := 0
	for _, m := range r.members {
		since := latest(m.heard, m.known)
		deaf := now.Sub(since) >= suspectAfter || now.Sub(latest(m.echoed, m.known)) >= deafAfter
		if deaf && now.Sub(m.dropped) >= deafAfter {
			m.dropped = now
			drop = append(drop, m.entry.PeerAddr)
		}
		if now.Sub(since) >= suspectAfter && !m.silent {
			m.silent = true
			silent++
			r.Log.Warn("Instance is silent.", "peer", string(m.entry.ID), "heardMsAgo", now.Sub(since).Milliseconds())
		}
		if now.Sub(latest(since, latest(m.sign, m.changed))) >= removeAfter {
			remove = append(remove, m)
		}
	}
	many := silent > 1 && silent*2 >= len(r.members)
	first := r.isFirst(now)
	r.mu.Unlock()
	for _, addr := range drop {
		r.Linker.Drop(addr)
	}
	if many {
		r.Silent()
	}
	if first {
		r.remove(ctx, remove)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isFirst reports whether no live peer has a lower id. The caller holds the lock.
func (r *Roster) isFirst(now time.Time) bool {
	for id, m := range r.members {
		if id < r.Self.ID && now.Sub(m.heard) < suspectAfter {
			return false
		}
	}
	return true
}

func (r *Roster) remove(ctx context.Context, gone []*member) {
	for _, m := range gone {
		err := r.Store.Delete(ctx, fescuebank.MemberPrefix+string(m.entry.ID), m.version)
		r.Log.Info("Entry of a silent instance removed.", "peer", string(m.entry.ID), "err", errText(err))
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// register writes this run's entry whenever the store doesn't show it.
func (r *Roster) register(ctx context.Context) {
	for ctx.Err() == nil {
		if r.isEntryLost() || r.mustBeat() {
			if err := r.writeEntry(ctx); err != nil {
				r.Log.Warn("Entry not written.", "err", err.Error())
				_ = fescuebank.Sleep(ctx, r.Clock, registerRetry)
				continue
			}
			r.mu.Lock()
			r.entryLost = false
			r.mu.Unlock()
		}
		_ = fescuebank.Sleep(ctx, r.Clock, entryBeat)
	}
}

// Registered reports whether this run's entry is in the store.
func (r *Roster) Registered() bool {
	return !r.isEntryLost()
}

func (r *Roster) isEntryLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entryLost
}

// mustBeat reports whether an owner has to show by its entry that it lives: when
// most other owners are silent, so that it may be this one that is cut off, or
// when a silent owner shows the same.
func (r *Roster) mustBeat() bool {
	if !r.Self.Owner {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	owners, silent := 0, 0
	for _, m := range r.members {
		if !m.entry.Owner {
			continue
		}
		owners++
		since := now.Sub(latest(m.lastHeard(), m.known))
		if since < suspectAfter {
			continue
		}
		if now.Sub(m.changed) < entryLife {
			return true
		}
		if since < entryBeatFor {
			silent++
		}
	}
	return silent*2 > owners
}

// lastHeard is when the peer was last heard here or elsewhere.
func (m *member) lastHeard() time.Time {
	return latest(m.heard, m.sign)
}

// isReachable reports whether there was a sign of the peer's life lately.
func (m *member) isReachable(now time.Time) bool {
	return now.Sub(m.lastHeard()) < suspectAfter || now.Sub(m.changed) < entryLife
}

// writeEntry writes this run's entry with a higher beat.
func (r *Roster) writeEntry(ctx context.Context) error {
	r.Self.Beat++
	value, err := json.Marshal(r.Self)
	if err != nil {
		return eris.Wrap(err, "Roster.writeEntry")
	}
	key := fescuebank.MemberPrefix + string(r.Self.ID)
	r.mu.Lock()
	expected := r.version
	r.mu.Unlock()
	version, err := r.Store.Put(ctx, key, value, expected)
	if err == nil {
		r.Log.Info("Entry written.", "incarnation", string(r.Self.Incarnation), "version", uint64(version))
	}
	if errors.Is(err, fescuebank.ErrVersion) || errors.Is(err, fescuebank.ErrAbsent) {
		version, err = r.readEntry(ctx, key)
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.version = version
	r.mu.Unlock()
	return nil
}

// readEntry returns the version of this instance's entry and fails unless the
// entry is this run's.
func (r *Roster) readEntry(ctx context.Context, key string) (fescuebank.StoreVersion, error) {
	o, err := r.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, fescuebank.ErrAbsent) {
		return 0, err
	}
	r.mu.Lock()
	r.version = o.Version
	r.mu.Unlock()
	var have fescuebank.MemberEntry
	if err != nil || json.Unmarshal(o.Value, &have) != nil || have.Incarnation != r.Self.Incarnation {
		return 0, errForeign
	}
	return o.Version, nil
}

// errForeign means that the entry is absent or that of another run.
var errForeign = errors.New("entry is not this run's")

// Leave removes this run's entry, so that others forget it.
func (r *Roster) Leave(ctx context.Context) {
	key := fescuebank.MemberPrefix + string(r.Self.ID)
	o, err := r.Store.Get(ctx, key)
	if err != nil {
		return
	}
	if err := r.Store.Delete(ctx, key, o.Version); err != nil {
		r.Log.Warn("Entry not removed.", "err", err.Error())
	}
}

// Peer is a member as others see it.
type Peer struct {
	fescuebank.MemberEntry
	// Alive is set while the peer is heard here; Reachable while anybody hears it
	// or its entry changes.
	Alive     bool
	Reachable bool
	News      fescuebank.News
}

// Peers returns all other members by id.
func (r *Roster) Peers() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	list := make([]Peer, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, Peer{
			MemberEntry: m.entry, Alive: now.Sub(m.heard) < suspectAfter, Reachable: m.isReachable(now), News: m.news,
		})
	}
	slices.SortFunc(list, func(a, b Peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Others sums what the live peers have at endpoints and waiting.
func (r *Roster) Others() (online, batch fescuebank.EndpointCounts, waiting int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	online, batch = make(fescuebank.EndpointCounts), make(fescuebank.EndpointCounts)
	for _, m := range r.members {
		if now.Sub(m.heard) >= suspectAfter {
			continue
		}
		online.Add(m.news.Online)
		batch.Add(m.news.Batch)
		waiting += m.news.Waiting
	}
	return online, batch, waiting
}
