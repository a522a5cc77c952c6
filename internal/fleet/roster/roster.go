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
			continue
		}
		seen[e.ID] = true
		r.meet(e, o.Version, now)
	}
	for id, m := range r.members {
		if !seen[id] {
			r.Log.Info("Instance is gone.", "instance", string(id))
			r.Linker.Forget(m.entry.PeerAddr)
			delete(r.members, id)
		}
	}
}

// meet takes in the entry of a peer. A new run starts with nothing known.
func (r *Roster) meet(e fescuebank.MemberEntry, version fescuebank.StoreVersion, now time.Time) {
	m := r.members[e.ID]
	if m != nil && m.entry.Incarnation == e.Incarnation {
		m.version = version
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
	r.Log.Info("Instance is known.", "instance", string(e.ID), "incarnation", string(e.Incarnation), "addr", e.PeerAddr)
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
		r.Log.Info("Instance is heard again.", "instance", string(n.From))
	}
	m.heard, m.news = now, n
	if echo, ok := n.Heard[r.Self.ID]; ok && echo <= r.sequence && echo > m.echo {
		m.echo, m.echoed = echo, now
	}
	r.mu.Unlock()
	r.Heard(&n)
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
		n.Heard = make(map[fescuebank.InstanceID]uint64, len(r.members))
	}
	for id, m := range r.members {
		addrs = append(addrs, m.entry.PeerAddr)
		if full && m.news.Sequence > 0 {
			n.Heard[id] = m.news.Sequence
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
			r.Log.Warn("Instance is silent.", "instance", string(m.entry.ID), "heardMsAgo", now.Sub(since).Milliseconds())
		}
		if now.Sub(since) >= removeAfter {
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
		r.Log.Info("Entry of a silent instance removed.", "instance", string(m.entry.ID), "err", errText(err))
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
		if r.isEntryLost() {
			if err := r.writeEntry(ctx); err != nil {
				r.Log.Warn("Entry not written.", "err", err.Error())
				_ = fescuebank.Sleep(ctx, r.Clock, registerRetry)
				continue
			}
			r.mu.Lock()
			r.entryLost = false
			r.mu.Unlock()
			r.Log.Info("Entry written.", "instance", string(r.Self.ID), "incarnation", string(r.Self.Incarnation))
		}
		_ = fescuebank.Sleep(ctx, r.Clock, time.Second)
	}
}

func (r *Roster) isEntryLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entryLost
}

func (r *Roster) writeEntry(ctx context.Context) error {
	value, err := json.Marshal(r.Self)
	if err != nil {
		return eris.Wrap(err, "Roster.writeEntry")
	}
	key := fescuebank.MemberPrefix + string(r.Self.ID)
	_, err = r.Store.Put(ctx, key, value, fescuebank.Absent)
	if !errors.Is(err, fescuebank.ErrVersion) {
		return err
	}
	o, err := r.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	var have fescuebank.MemberEntry
	if json.Unmarshal(o.Value, &have) == nil && have.Incarnation == r.Self.Incarnation {
		return nil
	}
	_, err = r.Store.Put(ctx, key, value, o.Version)
	return err
}

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
	// Alive is set while the peer is heard.
	Alive bool
	News  fescuebank.News
}

// Peers returns all other members by id.
func (r *Roster) Peers() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	list := make([]Peer, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, Peer{MemberEntry: m.entry, Alive: now.Sub(m.heard) < suspectAfter, News: m.news})
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
