package elector_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/fleet/elector"
	"fescuebank/internal/fleet/gossiper"
	"fescuebank/internal/standin/memorystorer"
	"fescuebank/internal/timing/timekeeper"
)

// fleet is a set of instances; a test controls which of them receive gossip from which.
type fleet struct {
	t         *testing.T
	store     *memorystorer.MemoryStorer
	instances map[fescuebank.InstanceID]*instance
	group     sync.WaitGroup
	mu        sync.Mutex
	// partitioned holds the pairs that receive no gossip from each other; down holds the
	// instances whose gossip no other instance receives.
	partitioned map[[2]fescuebank.InstanceID]bool
	down        map[fescuebank.InstanceID]bool
	// isolated instances receive no gossip yet.
	isolated map[fescuebank.InstanceID]bool
	// lateEntries is set while instances learn of others' new entries only by reading the
	// members, as from their start the entries that they know are out of date.
	lateEntries bool
}

type instance struct {
	fleet   *fleet
	entry   fescuebank.MemberEntry
	elector *elector.Elector
	stop    context.CancelFunc
	// known are the entries of all instances as of the last read of the members, and reads counts
	// those reads.
	known map[fescuebank.InstanceID]fescuebank.MemberEntry
	reads int
}

func newFleet(t *testing.T) *fleet {
	return &fleet{
		t: t, store: &memorystorer.MemoryStorer{}, instances: make(map[fescuebank.InstanceID]*instance),
		partitioned: make(map[[2]fescuebank.InstanceID]bool), down: make(map[fescuebank.InstanceID]bool),
		isolated: make(map[fescuebank.InstanceID]bool),
	}
}

func (f *fleet) start(id fescuebank.InstanceID, owner bool) *instance {
	n := &instance{fleet: f, entry: fescuebank.MemberEntry{
		ID: id, Incarnation: fescuebank.Incarnation(fescuebank.NewRandomID("")), Owner: owner, PeerAddr: string(id),
	}}
	if !owner {
		n.entry.CallerAddr = string(id)
	}
	n.elector = elector.New(elector.Config{
		Self: n.entry, Store: f.store, Members: n, Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger(),
		OnChange: func() {},
		ReadThroughPeer: func(context.Context) (fescuebank.Object, error) {
			return fescuebank.Object{}, fescuebank.ErrPeerUnreachable
		},
		ReadMembers: n.readMembers, MembersKnown: func() bool { return true },
		StoreState: func() (bool, time.Duration) { return true, time.Hour },
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	f.mu.Lock()
	n.known = f.entries()
	f.instances[id] = n
	delete(f.down, id)
	f.mu.Unlock()
	f.group.Go(func() { n.elector.Run(ctx) })
	f.group.Go(func() { n.follow(ctx) })
	return n
}

// entries returns the current entries of all instances. The caller holds the lock.
func (f *fleet) entries() map[fescuebank.InstanceID]fescuebank.MemberEntry {
	entries := make(map[fescuebank.InstanceID]fescuebank.MemberEntry, len(f.instances))
	for id, n := range f.instances {
		entries[id] = n.entry
	}
	return entries
}

func (n *instance) readMembers(context.Context) bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.known = n.fleet.entries()
	n.reads++
	return true
}

// kill stops an instance without a graceful shutdown.
func (f *fleet) kill(id fescuebank.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances[id].stop()
	f.down[id] = true
}

// partition stops the gossip between two instances.
func (f *fleet) partition(a, b fescuebank.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned[[2]fescuebank.InstanceID{a, b}] = true
	f.partitioned[[2]fescuebank.InstanceID{b, a}] = true
}

// follow applies the list as it changes and sends acknowledgements to the live peers.
func (n *instance) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if o, err := n.fleet.store.Get(ctx, fescuebank.OwnerListKey); err == nil {
			n.elector.ApplyObject(o, time.Time{})
		}
		for _, other := range n.livePeers() {
			other.elector.Acknowledge(n.holder(), n.elector.Epoch())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// livePeers returns the live instances other than n. An elector calls Peers with its own
// lock held, so the lock of the fleet must not be held while electors are called.
func (n *instance) livePeers() []*instance {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var list []*instance
	for id, other := range n.fleet.instances {
		if id != n.entry.ID && !n.fleet.down[id] && !n.fleet.down[n.entry.ID] {
			list = append(list, other)
		}
	}
	return list
}

func (n *instance) holder() fescuebank.Holder {
	return fescuebank.Holder{ID: n.entry.ID, Incarnation: n.entry.Incarnation}
}

// Peers returns the other instances as n sees them. A peer that a third instance receives
// gossip from is reachable.
func (n *instance) Peers() []gossiper.Peer {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var list []gossiper.Peer
	for id, other := range n.fleet.instances {
		if id == n.entry.ID {
			continue
		}
		entry := other.entry
		if n.fleet.lateEntries {
			entry = n.known[id]
		}
		down := n.fleet.down[id] || n.fleet.isolated[n.entry.ID]
		list = append(list, gossiper.Peer{
			MemberEntry: entry, Reachable: !down,
			Alive:  !down && !n.fleet.partitioned[[2]fescuebank.InstanceID{n.entry.ID, id}],
			Gossip: fescuebank.Gossip{Incarnation: other.entry.Incarnation},
		})
	}
	return list
}

// ownerList returns the list in the store.
func (f *fleet) ownerList() fescuebank.OwnerList {
	var l fescuebank.OwnerList
	o, err := f.store.Get(context.Background(), fescuebank.OwnerListKey)
	if err != nil {
		f.t.Fatalf("got %v, want a list of owners", err)
	}
	if err := json.Unmarshal(o.Value, &l); err != nil {
		f.t.Fatal(err)
	}
	return l
}

// teamOf returns a team that an instance owns by the list.
func (f *fleet) teamOf(id fescuebank.InstanceID) fescuebank.TeamID {
	l := f.ownerList()
	for i := range 1000 {
		team := fescuebank.TeamID("team" + string(rune('a'+i%26)) + string(rune('a'+i/26)))
		if owner, ok := l.Owner(team); ok && owner.ID == id {
			return team
		}
	}
	f.t.Fatalf("got no team owned by %s, want one", id)
	return ""
}

func (f *fleet) stopAll() {
	for _, n := range f.instances {
		n.stop()
	}
	f.group.Wait()
}

// formationTime is long enough for the first list to be written and applied.
const formationTime = 4 * time.Second

// TestOwnersPartitionedFromEachOtherKeepTheirTeams guards against owners that remove each
// other from the list because the connection between them fails, while both still serve.
func TestOwnersPartitionedFromEachOtherKeepTheirTeams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		f.start("s1", true)
		f.start("s2", true)
		f.start("e1", false)
		time.Sleep(formationTime)
		before := f.ownerList().Epoch
		f.partition("s1", "s2")
		time.Sleep(10 * time.Second)
		if got := f.ownerList().Epoch; got != before {
			t.Errorf("got epoch %d after a partition between owners that are reachable for others, want %d", got, before)
		}
	})
}

// TestTakeover bounds the time until another owner acts after a loss. It may act soon if all
// entry instances have applied the new list, or if the lost owner has restarted as another
// incarnation, and otherwise only after the lost owner's lease has expired.
func TestTakeover(t *testing.T) {
	for _, tt := range []struct {
		name string
		// fault makes the owner s2 fail; its team must be taken over no earlier than
		// earliest and no later than latest after that.
		fault    func(f *fleet)
		earliest time.Duration
		latest   time.Duration
	}{
		{"owner lost, all entry instances alive", func(f *fleet) { f.kill("s2") }, 500 * time.Millisecond, 2500 * time.Millisecond},
		{"owner and an entry instance lost", func(f *fleet) { f.kill("s2"); f.kill("e1") }, 8 * time.Second, 11 * time.Second},
		{"owner restarts as another incarnation", func(f *fleet) {
			f.kill("s2")
			f.kill("e1")
			time.Sleep(time.Second)
			f.start("s2", true)
			f.start("e1", false)
		}, 0, 3 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.stopAll()
				f.start("s1", true)
				f.start("s2", true)
				f.start("e1", false)
				time.Sleep(formationTime)
				team := f.teamOf("s2")
				began := time.Now()
				tt.fault(f)
				for !f.hasActingOwner(team) {
					time.Sleep(20 * time.Millisecond)
					if time.Since(began) > tt.latest {
						t.Fatalf("got no owner after %v, want one", tt.latest)
					}
				}
				if got := time.Since(began); got < tt.earliest {
					t.Errorf("got an owner after %v, want at least %v", got, tt.earliest)
				}
			})
		})
	}
}

// hasActingOwner reports whether a live instance may act as the owner of a team.
func (f *fleet) hasActingOwner(team fescuebank.TeamID) bool {
	f.mu.Lock()
	var live []*instance
	for id, n := range f.instances {
		if !f.down[id] {
			live = append(live, n)
		}
	}
	f.mu.Unlock()
	for _, n := range live {
		if _, ok := n.elector.MayAct(team); ok {
			return true
		}
	}
	return false
}

// TestRestartOfAllDoesNotWaitForStoppedOwners checks that the list drops a former owner
// that has stopped, so that an owner acts within 3 s of a restart of all instances.
func TestRestartOfAllDoesNotWaitForStoppedOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		f.start("s1", true)
		f.start("s2", true)
		f.start("e1", false)
		time.Sleep(formationTime)
		f.kill("s2")
		f.mu.Lock()
		delete(f.instances, "s2")
		f.mu.Unlock()
		time.Sleep(12 * time.Second)
		if got := f.ownerList().Former; len(got) != 0 {
			t.Fatalf("got former owners %v long after they stopped, want none", got)
		}
		f.kill("s1")
		f.kill("e1")
		time.Sleep(time.Second)
		f.start("s1", true)
		f.start("e1", false)
		time.Sleep(3 * time.Second)
		if team := f.teamOf("s1"); !f.hasActingOwner(team) {
			t.Errorf("got no owner 3 s after the restart of all, want one")
		}
	})
}

// TestRestartOfAllRenewsTheListSoon restarts all instances at once. Until the list names the new
// incarnations, no request of a team with a quota is served, so the instance that writes it must not
// wait until others pass the new entries on, and it must name all owners at once: a list of some would
// move teams away and back.
func TestRestartOfAllRenewsTheListSoon(t *testing.T) {
	const want = 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		owners := []fescuebank.InstanceID{"s1", "s2", "s3", "s4", "s5"}
		for _, id := range owners {
			f.start(id, true)
		}
		f.start("e1", false)
		time.Sleep(formationTime)
		before := f.ownerList().Epoch
		for _, id := range append(owners, "e1") {
			f.kill(id)
		}
		f.lateEntries = true
		time.Sleep(time.Second)
		for _, id := range append(owners, "e1") {
			f.start(id, id != "e1")
		}
		time.Sleep(want)
		list := f.ownerList()
		if got := list.Epoch; got != before+1 {
			t.Errorf("got epoch %d %v after the restart, want %d", got, want, before+1)
		}
		for _, id := range owners {
			if !list.Has(f.instances[id].holder()) {
				t.Errorf("got a list without the new incarnation of %s after %v, want it", id, want)
			}
		}
		reads := 0
		for _, n := range f.instances {
			reads += n.reads
		}
		if reads > 2*len(owners) {
			t.Errorf("got %d reads of the members, want at most %d", reads, 2*len(owners))
		}
	})
}

// TestVacantSince checks what is known of the time before an owner's restart: nobody acted for the teams
// of its former incarnation, unless a former owner may have.
func TestVacantSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		f.start("s1", true)
		f.start("s2", true)
		f.start("e1", false)
		time.Sleep(formationTime)
		team := f.teamOf("s2")
		f.kill("s2")
		time.Sleep(100 * time.Millisecond)
		startedAt := time.Now()
		n := f.start("s2", true)
		time.Sleep(2 * time.Second)
		if got, ok := n.elector.VacantSince(team); !ok || !got.Equal(startedAt) {
			t.Errorf("got the team vacant since %v, known %v, want since the start at %v", got, ok, startedAt)
		}
		if _, ok := f.instances["s1"].elector.VacantSince(f.teamOf("s1")); ok {
			t.Error("got a time since which the team of an owner that runs on was vacant, want none")
		}
	})
}

// TestEntryKeepsItsFloorSlotWhileOwnersReadTheList checks that an owner's read of the list
// keeps the floor slot of an entry instance valid, for 25 s at most.
func TestEntryKeepsItsFloorSlotWhileOwnersReadTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		owner := f.start("s1", true)
		entry := f.start("e1", false)
		time.Sleep(formationTime)
		entry.elector.RecordPeerRead(owner.elector.Epoch(), owner.elector.ListAge())
		if _, slots, ok := entry.elector.FloorSlot(); !ok || slots != 1 {
			t.Errorf("got floor slots %d, held %v, want 1, held", slots, ok)
		}
		f.kill("s1")
		time.Sleep(26 * time.Second)
		if _, _, ok := entry.elector.FloorSlot(); ok {
			t.Error("got a floor slot 26 s after the list was last read, want none")
		}
	})
}

// TestNewOwnerRemovesNoOwnerBeforeItsGossipArrives guards against an owner that removes others
// right after its start, while its connections to them are still being made.
func TestNewOwnerRemovesNoOwnerBeforeItsGossipArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		f.start("s2", true)
		f.start("s3", true)
		f.start("e1", false)
		time.Sleep(formationTime)
		f.mu.Lock()
		f.isolated["s1"] = true
		f.mu.Unlock()
		f.start("s1", true)
		time.Sleep(700 * time.Millisecond)
		if got := len(f.ownerList().Owners); got < 2 {
			t.Errorf("got %d owners after another one started, want at least the former 2", got)
		}
		f.mu.Lock()
		delete(f.isolated, "s1")
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		if got := len(f.ownerList().Owners); got != 3 {
			t.Errorf("got %d owners after all have received gossip from each other, want 3", got)
		}
	})
}

// TestOwnerStopsWhenItCannotReadTheList guards against an owner that acts by an old list after
// others may have taken over: it must stop within its lease of 8 s.
func TestOwnerStopsWhenItCannotReadTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		n := f.start("s1", true)
		time.Sleep(formationTime)
		team := f.teamOf("s1")
		f.store.SetFaults(memorystorer.Faults{Down: true})
		time.Sleep(4 * time.Second)
		if !n.elector.IsOwner(team) {
			t.Errorf("got no ownership 4 s after the start of an outage, want it")
		}
		time.Sleep(5 * time.Second)
		if n.elector.IsOwner(team) {
			t.Errorf("got ownership 9 s after the start of an outage, want none")
		}
	})
}
