package quarantiner_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/endpoint/permitter"
	"fescuebank/internal/endpoint/quarantiner"
	"fescuebank/internal/timing/timekeeper"
)

// network connects the instances of a test.
type network struct {
	guards []*quarantiner.Quarantiner
	permit []*permitter.Permitter
}

// node is an instance's view of the network: it owns all permits if it is the
// first, and reaches every other instance.
type node struct {
	fescuebank.Directory
	net  *network
	self int
}

func name(n int) fescuebank.InstanceID { return fescuebank.InstanceID(fmt.Sprint("entry-", n)) }

func (n node) instance(i int) fescuebank.Instance {
	return fescuebank.Instance{ID: name(i), PeerAddr: fmt.Sprint(i)}
}

func (n node) Self() fescuebank.Instance { return n.instance(n.self) }

func (n node) Owner(fescuebank.ShardID) (fescuebank.Instance, bool) { return n.instance(0), true }

func (n node) MayAct(fescuebank.ShardID) (fescuebank.FencingNumber, bool) { return 1, n.self == 0 }

func (n node) Instances() []fescuebank.Instance {
	var list []fescuebank.Instance
	for i := range n.net.guards {
		list = append(list, n.instance(i))
	}
	return list
}

// Call delivers a message at once.
func (n node) Call(ctx context.Context, addr string, kind fescuebank.MessageKind, request, reply any) error {
	var i int
	if _, err := fmt.Sscan(addr, &i); err != nil {
		return err
	}
	if kind == fescuebank.KindCrashRecord {
		_, err := n.net.guards[i].Handle(ctx, func(into any) error {
			*into.(*fescuebank.CrashRecordRequest) = *request.(*fescuebank.CrashRecordRequest)
			return nil
		})
		return err
	}
	answer, err := n.net.permit[i].Handle(ctx, func(into any) error {
		*into.(*fescuebank.PermitRequest) = *request.(*fescuebank.PermitRequest)
		return nil
	})
	if err == nil {
		*reply.(*fescuebank.PermitReply) = *answer.(*fescuebank.PermitReply)
	}
	return err
}

// downStore is a store in an outage.
type downStore struct{ fescuebank.ObjectStore }

func (downStore) Get(context.Context, string) (fescuebank.Object, error) {
	return fescuebank.Object{}, fescuebank.ErrStoreDown
}

func newNetwork(instances int) *network {
	net := &network{}
	for i := range instances {
		n := node{net: net, self: i}
		p := permitter.New(n, n, timekeeper.Timekeeper{})
		net.permit = append(net.permit, p)
		net.guards = append(net.guards, quarantiner.New(downStore{}, n, n, p, timekeeper.Timekeeper{}, hclog.NewNullLogger()))
	}
	return net
}

// attempt runs a request at an endpoint until it ends as end says.
func attempt(g *quarantiner.Quarantiner, prompt, endpoint string, d time.Duration, end fescuebank.AttemptEnd) error {
	leave, err := g.Enter(context.Background(), &fescuebank.Completion{Prompt: prompt}, fescuebank.EndpointID(endpoint))
	if err != nil {
		return err
	}
	time.Sleep(d)
	leave(end)
	return nil
}

func isQuarantined(err error) bool {
	var r *fescuebank.Refusal
	return errors.As(err, &r) && r.Code == fescuebank.CodeQuarantined
}

// crash makes an endpoint break off at once under several requests, given by
// instance, and returns once all have gone on.
func (net *network) crash(endpoint string, under map[string]int) {
	var group sync.WaitGroup
	for prompt, instance := range under {
		group.Go(func() { _ = attempt(net.guards[instance], prompt, endpoint, 0, fescuebank.AttemptLost) })
	}
	group.Wait()
}

// TestJudgement gives the guards losses of endpoints and wants just the request
// at fault to be quarantined, on every instance.
func TestJudgement(t *testing.T) {
	const poison = "poison"
	type loss struct {
		endpoint string
		under    map[string]int
		after    time.Duration
	}
	for _, tt := range []struct {
		name   string
		losses []loss
		want   map[string]bool
	}{
		{"once is not enough", []loss{{"e1", map[string]int{poison: 0, "a": 0}, 0}}, map[string]bool{poison: false, "a": false}},
		{
			"twice at one instance, with others beside it",
			[]loss{{"e1", map[string]int{poison: 0, "a": 0}, 0}, {"e2", map[string]int{poison: 0, "b": 0, "c": 1}, 0}},
			map[string]bool{poison: true, "a": false, "b": false, "c": false},
		},
		{
			"twice through two instances, others see only the innocent",
			[]loss{{"e1", map[string]int{poison: 0, "a": 2}, 0}, {"e2", map[string]int{poison: 1, "b": 2, "c": 0}, 0}},
			map[string]bool{poison: true, "a": false, "b": false, "c": false},
		},
		{
			"a minute apart",
			[]loss{{"e1", map[string]int{poison: 0}, 0}, {"e2", map[string]int{poison: 1}, time.Minute}},
			map[string]bool{poison: true},
		},
		{
			"a room goes",
			[]loss{{"e1", map[string]int{"a": 0, "b": 0}, 0}, {"e2", map[string]int{"c": 0}, 0}, {"e3", map[string]int{"d": 0}, 0}},
			map[string]bool{"a": false, "b": false, "c": false, "d": false},
		},
		{
			"the same endpoint twice",
			[]loss{{"e1", map[string]int{"a": 0}, 0}, {"e1", map[string]int{"a": 0}, time.Minute}},
			map[string]bool{"a": false},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := newNetwork(3)
				for _, l := range tt.losses {
					time.Sleep(l.after)
					net.crash(l.endpoint, l.under)
				}
				for prompt, want := range tt.want {
					for i, g := range net.guards {
						err := attempt(g, prompt, "e9", 0, fescuebank.AttemptAbandoned)
						if isQuarantined(err) != want {
							t.Errorf("%s at instance %d: got %v, want quarantined %v", prompt, i, err, want)
						}
					}
				}
				time.Sleep(time.Minute) // Permits are given back.
			})
		})
	}
}

// TestSuspectsRunAlone wants one suspect at an endpoint at a time, whichever
// instances they come through.
func TestSuspectsRunAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(3)
		net.crash("e1", map[string]int{"a": 0, "b": 0, "c": 0})
		running, most := 0, 0
		var mu sync.Mutex
		var group sync.WaitGroup
		for i, prompt := range []string{"a", "b", "c"} {
			group.Go(func() {
				leave, err := net.guards[i].Enter(context.Background(), &fescuebank.Completion{Prompt: prompt}, "e2")
				if err != nil {
					t.Errorf("%s: %v", prompt, err)
					return
				}
				mu.Lock()
				running++
				most = max(most, running)
				mu.Unlock()
				time.Sleep(5 * time.Second)
				mu.Lock()
				running--
				mu.Unlock()
				leave(fescuebank.AttemptCompleted)
			})
		}
		group.Wait()
		if most != 1 {
			t.Errorf("got %d suspects at once, want 1", most)
		}
		time.Sleep(time.Minute) // Permits are given back.
	})
}

// TestCompletedRequestIsCleared wants a suspect that completes to run freely.
func TestCompletedRequestIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(1)
		net.crash("e1", map[string]int{"a": 0})
		if err := attempt(net.guards[0], "a", "e2", time.Second, fescuebank.AttemptCompleted); err != nil {
			t.Fatal(err)
		}
		net.crash("e3", map[string]int{"a": 0})
		if err := attempt(net.guards[0], "a", "e4", 0, fescuebank.AttemptCompleted); err != nil {
			t.Errorf("got %v, want the request let through: it completed in between", err)
		}
		time.Sleep(time.Minute) // Permits are given back.
	})
}
