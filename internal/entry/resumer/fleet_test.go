package resumer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/fleet/gossiper"
	"fescuebank/internal/timing/timekeeper"
	"fescuebank/internal/wire/linker"
)

// fleet is a simulated fleet. Its instances call each other in memory.
type fleet struct {
	peers     []gossiper.Peer
	instances map[string]*instance
	// known is set once the others know which instances are dead.
	known atomic.Bool
}

// instance is one instance of a simulated fleet.
type instance struct {
	*Resumer
	// A dead instance refuses connections, and a frozen one doesn't reply.
	dead, frozen atomic.Bool
}

// newFleet starts instances in zones of the given sizes.
func newFleet(ctx context.Context, zoneSizes ...int) *fleet {
	f := &fleet{peers: makePeers(zoneSizes...), instances: make(map[string]*instance)}
	for i := range f.peers {
		addr := string(f.peers[i].ID)
		f.peers[i].PeerAddr = addr
		r := New(Config{Members: view{f, addr}, Peer: f, Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger()})
		f.instances[addr] = &instance{Resumer: r}
	}
	for _, in := range f.instances {
		go in.Run(ctx)
	}
	return f
}

// at returns the instance with an index.
func (f *fleet) at(i int) *instance {
	return f.instances[f.peers[i].PeerAddr]
}

// killHalf kills half of the instances.
func (f *fleet) killHalf(random *rand.Rand) {
	for _, i := range random.Perm(len(f.peers))[:len(f.peers)/2] {
		f.at(i).dead.Store(true)
	}
}

// holders returns the number of live instances that have a record.
func (f *fleet) holders(id fescuebank.RequestID) int {
	n := 0
	for _, in := range f.instances {
		if _, ok := in.known(id); ok && !in.dead.Load() {
			n++
		}
	}
	return n
}

// view is the fleet from the point of view of one instance.
type view struct {
	fleet *fleet
	self  string
}

func (v view) Peers() []gossiper.Peer {
	var peers []gossiper.Peer
	for _, p := range v.fleet.peers {
		if p.PeerAddr != v.self {
			p.Alive = !v.fleet.known.Load() || !v.fleet.instances[p.PeerAddr].dead.Load()
			peers = append(peers, p)
		}
	}
	return peers
}

// Call implements fescuebank.Peer.
func (f *fleet) Call(ctx context.Context, addr string, kind fescuebank.MessageKind, request, reply any) error {
	in := f.instances[addr]
	if in.dead.Load() {
		return fescuebank.ErrPeerUnreachable
	}
	if in.frozen.Load() {
		<-ctx.Done()
		return fescuebank.ErrPeerLost
	}
	body, err := linker.Encode(request)
	if err != nil {
		return err
	}
	handle := in.HandleRecord
	if kind == fescuebank.KindFindStream {
		handle = in.HandleFind
	}
	answer, err := handle(ctx, func(into any) error { return linker.Decode(body, into) })
	if err != nil {
		return err
	}
	if body, err = linker.Encode(answer); err != nil {
		return err
	}
	return linker.Decode(body, reply)
}

// inFleet runs a test in virtual time.
func inFleet(t *testing.T, test func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		test(t, ctx)
		cancel()
		synctest.Wait()
	})
}

func requestID(i int) fescuebank.RequestID {
	return fescuebank.RequestID(fmt.Sprintf("request-%d", i))
}

func TestStreamsAreFoundAfterHalfOfTheFleetIsKilledAtOnce(t *testing.T) {
	const streams = 200
	for _, tt := range []struct {
		name      string
		zoneSizes []int
		// known is set if the instances that continue the streams know who was killed.
		known bool
	}{
		{"12 instances, before anyone knows", []int{4, 4, 4}, false},
		{"12 instances, known", []int{4, 4, 4}, true},
		{"12 instances in one zone", []int{12}, true},
		{"12 instances in two zones", []int{6, 6}, false},
		{"200 instances, before anyone knows", []int{67, 67, 66}, false},
		{"200 instances, known", []int{67, 67, 66}, true},
	} {
		begun, found, lostBackup := 0, 0, 0
		for seed := range uint64(8) {
			inFleet(t, func(t *testing.T, ctx context.Context) {
				random := rand.New(rand.NewPCG(seed, 1))
				f := newFleet(ctx, tt.zoneSizes...)
				origins := make([]int, streams)
				for i := range streams {
					origins[i] = random.IntN(len(f.peers))
					f.at(origins[i]).Record(requestID(i), fmt.Sprintf("v%d", i%3))
				}
				time.Sleep(time.Second)
				f.killHalf(random)
				f.known.Store(tt.known)
				for i := range streams {
					next := random.IntN(len(f.peers))
					if !f.at(origins[i]).dead.Load() || f.at(next).dead.Load() {
						continue
					}
					begun++
					survives := f.holders(requestID(i)) > 0
					version, ok := f.at(next).Find(ctx, requestID(i))
					if ok && version != fmt.Sprintf("v%d", i%3) {
						t.Errorf("%s: got version %q of stream %d, want v%d", tt.name, version, i, i%3)
					}
					if ok {
						found++
					}
					if survives && !ok {
						lostBackup++
					}
				}
			})
		}
		if found*8 < begun*7 {
			t.Errorf("%s: got %d of %d streams found, want at least seven eighths", tt.name, found, begun)
		}
		if lostBackup > 0 {
			t.Errorf("%s: got %d streams not found of which a backup survives, want none", tt.name, lostBackup)
		}
		t.Logf("%s: %d of %d streams found", tt.name, found, begun)
	}
}

func TestCopyGoesToTheNextMemberIfABackupFails(t *testing.T) {
	for _, tt := range []struct {
		name string
		fail func(*instance)
	}{
		{"killed", func(in *instance) { in.dead.Store(true) }},
		{"frozen", func(in *instance) { in.frozen.Store(true) }},
	} {
		inFleet(t, func(t *testing.T, ctx context.Context) {
			f := newFleet(ctx, 4, 4, 4)
			for _, b := range backupsOf(view{f, f.peers[0].PeerAddr}.Peers(), "request-0")[:2] {
				tt.fail(f.instances[b.addr])
			}
			f.at(0).Record("request-0", "v1")
			time.Sleep(deliverTimeout)
			if got, want := f.holders("request-0"), 1+copies; got != want {
				t.Errorf("backups %s: got %d instances with the record, want %d", tt.name, got, want)
			}
		})
	}
}

func TestFrozenMembersDoNotDelayTheResumptionForLong(t *testing.T) {
	inFleet(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(ctx, 4, 4, 4)
		f.at(0).Record("request-0", "v1")
		time.Sleep(time.Second)
		asking := -1
		for i := range f.peers {
			if _, ok := f.at(i).known("request-0"); !ok {
				asking = i
			}
		}
		for _, in := range f.instances {
			_, ok := in.known("request-0")
			in.frozen.Store(ok)
		}
		begin := time.Now()
		if _, ok := f.at(asking).Find(ctx, "request-0"); ok || time.Since(begin) > findTimeout {
			t.Errorf("all that have the record frozen: got found %t after %v, want not found within %v", ok, time.Since(begin), findTimeout)
		}
		for _, in := range f.instances {
			in.frozen.Store(false)
		}
		if version, ok := f.at(asking).Find(ctx, "request-0"); !ok || version != "v1" {
			t.Errorf("after they go on: got %q, %t, want v1", version, ok)
		}
	})
}

func TestFoundVersionIsKept(t *testing.T) {
	inFleet(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(ctx, 4, 4, 4)
		f.at(0).Record("request-0", "v1")
		time.Sleep(time.Second)
		for i := range f.peers {
			if version, ok := f.at(i).Find(ctx, "request-0"); !ok || version != "v1" {
				t.Errorf("instance %d: got %q, %t, want v1", i, version, ok)
			}
		}
		if got, want := f.holders("request-0"), len(f.peers); got != want {
			t.Errorf("got %d instances with the record, want all %d", got, want)
		}
	})
}

func TestUnknownStreamIsNotFound(t *testing.T) {
	inFleet(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(ctx, 4, 4, 4)
		for _, id := range []fescuebank.RequestID{"", "unknown"} {
			if version, ok := f.at(0).Find(ctx, id); ok {
				t.Errorf("%q: got %q, want not found", id, version)
			}
		}
	})
}

func TestOversizedMessagesAreRefused(t *testing.T) {
	long := func(n int) string { return string(make([]byte, n)) }
	for _, tt := range []struct {
		name    string
		records []fescuebank.StreamRecord
		want    error
	}{
		{"within the bounds", []fescuebank.StreamRecord{{ID: fescuebank.RequestID(long(maxIDBytes)), Version: long(maxVersionBytes)}}, nil},
		{"no id", []fescuebank.StreamRecord{{Version: "v1"}}, errInvalidMessage},
		{"long id", []fescuebank.StreamRecord{{ID: fescuebank.RequestID(long(maxIDBytes + 1))}}, errInvalidMessage},
		{"long version", []fescuebank.StreamRecord{{ID: "a", Version: long(maxVersionBytes + 1)}}, errInvalidMessage},
		{"many records", make([]fescuebank.StreamRecord, maxBatch+1), errInvalidMessage},
	} {
		r := New(Config{Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger()})
		body, err := linker.Encode(&fescuebank.RecordStreamsRequest{Records: tt.records})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := r.HandleRecord(t.Context(), func(into any) error { return linker.Decode(body, into) }); err != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, err, tt.want)
		}
	}
}

// TestStreamsOfOneIDAtDifferentVersionsAreNotContinued guards against a stream that continues at
// the version of another one, because the instance asked knows only the record of that one.
func TestStreamsOfOneIDAtDifferentVersionsAreNotContinued(t *testing.T) {
	const ids = 20
	inFleet(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(ctx, 4, 4, 4)
		for i, version := range []string{"v1", "v2"} {
			for id := range ids {
				f.at(i).Record(requestID(id), version)
				f.at(i).Record(requestID(ids+id), "v1")
			}
			time.Sleep(time.Second)
		}
		for i := range f.peers {
			for id := range ids {
				if version, ok := f.at(i).FindSole(ctx, requestID(id)); ok {
					t.Errorf("instance %d, stream %d: got version %q, want none", i, id, version)
				}
				if version, ok := f.at(i).FindSole(ctx, requestID(ids+id)); !ok || version != "v1" {
					t.Errorf("instance %d, stream %d: got version %q, %v, want v1", i, ids+id, version, ok)
				}
			}
		}
	})
}
