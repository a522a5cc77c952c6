// Package gossiper knows the instances of the fleet: it keeps this instance's
// entry in the store and exchanges news with all others.
package gossiper

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/wire/linker"
)

const (
	// removeAfter is how long a peer is silent before its entry is removed.
	removeAfter = 30 * time.Second
	// entryLife is how long a change of a peer's entry shows that the peer lives.
	entryLife = 2500 * time.Millisecond
)

// Config is what a gossiper works with.
type Config struct {
	Self   fescuebank.MemberEntry
	Store  fescuebank.ObjectStore
	Linker *linker.Linker
	Clock  fescuebank.Clock
	Log    hclog.Logger
	// Fill completes the news of this instance.
	Fill func(*fescuebank.Gossip)
	// OnGossip is called after a peer's news was taken in.
	OnGossip func(*fescuebank.Gossip)
	// OnAcknowledged is called when a peer tells that a run acknowledged an epoch.
	OnAcknowledged func(fescuebank.Holder, fescuebank.FencingNumber)
	// OnConnectionsStalled is called when connections fell silent without being closed.
	OnConnectionsStalled func()
}

// Gossiper tracks the members.
type Gossiper struct {
	Config
	kick chan struct{}

	// tag names this run.
	tag fescuebank.IncarnationTag

	mu       sync.Mutex
	sequence uint64
	// members are all but this instance; runs are the same by the tags of their runs,
	// and turns their tags in the order in which others are told of them.
	members map[fescuebank.InstanceID]*member
	runs    map[fescuebank.IncarnationTag]*member
	turns   []fescuebank.IncarnationTag
	// turn is the place in turns where the next message begins.
	turn int
	// live is how many instances lived at the last beat, this one included.
	live int
	// counted sums what the members with counted set have at endpoints.
	counted totals
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
	news  fescuebank.Gossip
	// counted is set while the news are part of the sums of the gossiper.
	counted bool
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

// New returns a gossiper that knows nobody.
func New(c Config) *Gossiper {
	r := &Gossiper{
		Config: c, kick: make(chan struct{}, 1), entryLost: true,
		tag:     fescuebank.Holder{ID: c.Self.ID, Incarnation: c.Self.Incarnation}.Tag(),
		members: make(map[fescuebank.InstanceID]*member), counted: totals{counts: make(fescuebank.EndpointCounts)},
	}
	c.Linker.HandleNotice(fescuebank.KindGossip, r.hear)
	return r
}

// Wake sends news soon.
func (r *Gossiper) Wake() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// Apply takes in the entries of the store.
func (r *Gossiper) Apply(objects []fescuebank.Object) {
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
			r.discount(m)
			delete(r.members, id)
		}
	}
	r.index()
}

// index brings runs and turns up to date with the members. The caller holds the lock.
func (r *Gossiper) index() {
	r.runs = make(map[fescuebank.IncarnationTag]*member, len(r.members))
	for _, m := range r.members {
		r.runs[m.holder().Tag()] = m
	}
	r.turns = slices.Sorted(maps.Keys(r.runs))
}

// meet takes in the entry of a peer. A new run starts with nothing known.
func (r *Gossiper) meet(e fescuebank.MemberEntry, version fescuebank.StoreVersion, now time.Time) {
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
		next.news, next.heard, next.echo, next.echoed, next.counted = m.news, m.heard, m.echo, m.echoed, m.counted
	} else if m != nil {
		r.discount(m)
	}
	r.members[e.ID] = next
	r.Log.Info("Instance is known.", "peer", string(e.ID), "incarnation", string(e.Incarnation), "addr", e.PeerAddr)
}

// holder is the peer's run as its entry names it.
func (m *member) holder() fescuebank.Holder {
	return fescuebank.Holder{ID: m.entry.ID, Incarnation: m.entry.Incarnation}
}

// lastHeard is when the peer was last heard here or elsewhere.
func (m *member) lastHeard() time.Time {
	return fescuebank.Latest(m.heard, m.sign)
}

// isAlive reports whether the peer was heard here lately.
func (m *member) isAlive(now time.Time, pace pace) bool {
	return now.Sub(m.heard) < pace.suspect()
}

// isReachable reports whether there was a sign of the peer's life lately.
func (m *member) isReachable(now time.Time, pace pace) bool {
	return now.Sub(m.lastHeard()) < pace.suspect() || now.Sub(m.changed) < entryLife
}

// Run keeps the entry and exchanges news until ctx ends.
func (r *Gossiper) Run(ctx context.Context) {
	go r.register(ctx)
	beat := r.Clock.Now()
	for ctx.Err() == nil {
		pace := r.currentPace()
		full := !r.Clock.Now().Before(beat)
		if full {
			beat = r.Clock.Now().Add(pace.beat())
			r.check(ctx)
		}
		r.send(full)
		_ = fescuebank.Sleep(ctx, r.Clock, pace.change())
		select {
		case <-ctx.Done():
		case <-r.kick:
		case <-r.Clock.After(beat.Sub(r.Clock.Now())):
		}
	}
}

func (r *Gossiper) currentPace() pace {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pace()
}

// pace returns how often the members tell each other. The caller holds the lock.
func (r *Gossiper) pace() pace {
	return pace(len(r.members))
}

// check makes connections anew that seem to have fallen silent, and removes the
// entries of peers that are long gone.
func (r *Gossiper) check(ctx context.Context) {
	now := r.Clock.Now()
	r.mu.Lock()
	pace := r.pace()
	var drop []string
	var remove []*member
	silent := 0
	r.live = 1
	for _, m := range r.members {
		if m.isAlive(now, pace) {
			r.live++
		}
		since := fescuebank.Latest(m.heard, m.known)
		deaf := now.Sub(since) >= pace.suspect() || now.Sub(fescuebank.Latest(m.echoed, m.known)) >= pace.deaf()
		if deaf && now.Sub(m.dropped) >= pace.deaf() {
			m.dropped = now
			drop = append(drop, m.entry.PeerAddr)
		}
		if now.Sub(since) >= pace.suspect() && !m.silent {
			m.silent = true
			silent++
			r.discount(m)
			r.Log.Warn("Instance is silent.", "peer", string(m.entry.ID), "heardMsAgo", now.Sub(since).Milliseconds())
		}
		if now.Sub(fescuebank.Latest(since, fescuebank.Latest(m.sign, m.changed))) >= removeAfter {
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
		r.OnConnectionsStalled()
	}
	if first {
		r.remove(ctx, remove)
	}
}

// isFirst reports whether no live peer has a lower id. The caller holds the lock.
func (r *Gossiper) isFirst(now time.Time) bool {
	for id, m := range r.members {
		if id < r.Self.ID && m.isAlive(now, r.pace()) {
			return false
		}
	}
	return true
}

func (r *Gossiper) remove(ctx context.Context, gone []*member) {
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

// Peer is a member as others see it.
type Peer struct {
	fescuebank.MemberEntry
	// Alive is set while the peer is heard here; Reachable while anybody hears it
	// or its entry changes.
	Alive     bool
	Reachable bool
	Gossip    fescuebank.Gossip
}

// Peers returns all other members by id.
func (r *Gossiper) Peers() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	list := make([]Peer, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, r.peer(m, now))
	}
	slices.SortFunc(list, func(a, b Peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Find returns one other member.
func (r *Gossiper) Find(id fescuebank.InstanceID) (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	if m == nil {
		return Peer{}, false
	}
	return r.peer(m, r.Clock.Now()), true
}

// LiveCount returns how many instances lived at the last beat as far as heard here, this
// one included.
func (r *Gossiper) LiveCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(1, r.live)
}

// Lag returns how old the counts may be that the members told.
func (r *Gossiper) Lag() time.Duration {
	return r.currentPace().change()
}

// peer returns a member as others see it. The caller holds the lock.
func (r *Gossiper) peer(m *member, now time.Time) Peer {
	pace := r.pace()
	return Peer{MemberEntry: m.entry, Alive: m.isAlive(now, pace), Reachable: m.isReachable(now, pace), Gossip: m.news}
}
