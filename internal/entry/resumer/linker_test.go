package resumer

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/fleet/gossiper"
	"fescuebank/internal/timing/timekeeper"
	"fescuebank/internal/wire/linker"
)

// linkedFleet is a fleet whose instances call each other over TCP.
type linkedFleet struct {
	peers    []gossiper.Peer
	linkers  []*linker.Linker
	resumers []*Resumer
}

// linkedView is a linkedFleet from the point of view of the instance with an index.
type linkedView struct {
	fleet *linkedFleet
	self  int
}

func (v linkedView) Peers() []gossiper.Peer {
	var peers []gossiper.Peer
	for i, p := range v.fleet.peers {
		if i != v.self {
			peers = append(peers, p)
		}
	}
	return peers
}

// newLinkedFleet starts instances without connections between them.
func newLinkedFleet(t *testing.T, zoneSizes ...int) *linkedFleet {
	t.Helper()
	f := &linkedFleet{peers: makePeers(zoneSizes...)}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for i := range f.peers {
		l, err := linker.New("127.0.0.1:0", timekeeper.Timekeeper{}, hclog.NewNullLogger())
		if err != nil {
			t.Fatal(err)
		}
		f.peers[i].PeerAddr = l.Addr()
		r := New(Config{Members: linkedView{f, i}, Peer: l, Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger()})
		l.Handle(fescuebank.KindRecordStreams, r.HandleRecord)
		l.Handle(fescuebank.KindFindStream, r.HandleFind)
		f.linkers, f.resumers = append(f.linkers, l), append(f.resumers, r)
	}
	for i := range f.peers {
		go f.linkers[i].Run(ctx)
		go f.resumers[i].Run(ctx)
	}
	return f
}

// awaitCopies waits until the copies of a record are stored.
func (f *linkedFleet) awaitCopies(t *testing.T, id fescuebank.RequestID, want int) {
	t.Helper()
	got := 0
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		got = 0
		for _, r := range f.resumers {
			if _, ok := r.known(id); ok {
				got++
			}
		}
		if got >= want {
			return
		}
	}
	t.Fatalf("got %d instances with the record of %s, want %d", got, id, want)
}

func TestFirstRecordIsNotLostWhereThereIsNoConnectionYet(t *testing.T) {
	f := newLinkedFleet(t, 3, 3, 2)
	f.resumers[0].Record("request-0", "v1")
	f.awaitCopies(t, "request-0", 1+copies)
	f.linkers[0].Close()
	for i := 1; i < len(f.resumers); i++ {
		if version, ok := f.resumers[i].Find(t.Context(), "request-0"); !ok || version != "v1" {
			t.Errorf("instance %d, after the first one was lost: got %q, %t, want v1", i, version, ok)
		}
	}
}

func TestRecordIsNotLostIfABackupClosedTheConnection(t *testing.T) {
	f := newLinkedFleet(t, 3, 3, 2)
	f.resumers[0].Record("request-0", "v1")
	f.awaitCopies(t, "request-0", 1+copies)
	for i := range f.peers {
		if f.peers[i].PeerAddr == rank(candidates(linkedView{f, 0}.Peers(), toStore, storeCandidates), "request-1")[0].addr {
			f.linkers[i].Close()
		}
	}
	f.resumers[0].Record("request-1", "v2")
	f.awaitCopies(t, "request-1", 1+copies)
}
