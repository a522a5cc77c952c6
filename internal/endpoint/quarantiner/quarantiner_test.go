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
	quarantiners []*quarantiner.Quarantiner
	permitters   []*permitter.Permitter
}

// instanceView is one instance's directory and peer connection. Instance 0 owns all
// permits, and all instances reach each other.
type instanceView struct {
	fescuebank.Directory
	net  *network
	self int
}

func name(n int) fescuebank.InstanceID { return fescuebank.InstanceID(fmt.Sprint("entry-", n)) }

func (v instanceView) peer(i int) fescuebank.Instance {
	return fescuebank.Instance{ID: name(i), PeerAddr: fmt.Sprint(i)}
}

func (v instanceView) Self() fescuebank.Instance { return v.peer(v.self) }

func (v instanceView) Owner(fescuebank.ShardID) (fescuebank.Instance, bool) { return v.peer(0), true }

func (v instanceView) MayAct(fescuebank.ShardID) (fescuebank.FencingNumber, bool) {
	return 1, v.self == 0
}

func (v instanceView) Instances() []fescuebank.Instance {
	var list []fescuebank.Instance
	for i := range v.net.quarantiners {
		list = append(list, v.peer(i))
	}
	return list
}

// Call delivers a message without delay.
func (v instanceView) Call(ctx context.Context, addr string, kind fescuebank.MessageKind, request, reply any) error {
	var i int
	if _, err := fmt.Sscan(addr, &i); err != nil {
		return err
	}
	if kind == fescuebank.KindCrashRecord {
		_, err := v.net.quarantiners[i].Handle(ctx, func(into any) error {
			*into.(*fescuebank.CrashRecordRequest) = *request.(*fescuebank.CrashRecordRequest)
			return nil
		})
		return err
	}
	permitted, err := v.net.permitters[i].Handle(ctx, func(into any) error {
		*into.(*fescuebank.PermitRequest) = *request.(*fescuebank.PermitRequest)
		return nil
	})
	if err == nil {
		*reply.(*fescuebank.PermitReply) = *permitted.(*fescuebank.PermitReply)
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
		v := instanceView{net: net, self: i}
		p := permitter.New(v, v, timekeeper.Timekeeper{})
		net.permitters = append(net.permitters, p)
		net.quarantiners = append(net.quarantiners, quarantiner.New(downStore{}, v, v, p, timekeeper.Timekeeper{}, hclog.NewNullLogger()))
	}
	return net
}

// attempt runs a request at an endpoint for d and ends the attempt with end.
func attempt(q *quarantiner.Quarantiner, prompt, endpoint string, d time.Duration, end fescuebank.AttemptEnd) error {
	endAttempt, err := q.Enter(context.Background(), &fescuebank.CompletionRequest{Prompt: prompt}, fescuebank.EndpointID(endpoint))
	if err != nil {
		return err
	}
	time.Sleep(d)
	endAttempt(end)
	return nil
}

func isQuarantined(err error) bool {
	var r *fescuebank.Refusal
	return errors.As(err, &r) && r.Code == fescuebank.CodeQuarantined
}

// crash simulates the loss of an endpoint with several requests in flight. prompts maps
// each request's prompt to the instance that sent it. crash returns after all attempts have
// ended.
func (net *network) crash(endpoint string, prompts map[string]int) {
	var group sync.WaitGroup
	for prompt, instance := range prompts {
		group.Go(func() { _ = attempt(net.quarantiners[instance], prompt, endpoint, 0, fescuebank.AttemptLost) })
	}
	group.Wait()
}

// TestQuarantineDecision checks that after losses of endpoints exactly the request at fault is
// quarantined, on all instances.
func TestQuarantineDecision(t *testing.T) {
	const poison = "poison"
	type loss struct {
		endpoint string
		prompts  map[string]int
		after    time.Duration
	}
	for _, tt := range []struct {
		name   string
		losses []loss
		want   map[string]bool
	}{
		{"one loss is not enough", []loss{{"e1", map[string]int{poison: 0, "a": 0}, 0}}, map[string]bool{poison: false, "a": false}},
		{
			"two losses at one instance, with other requests running",
			[]loss{{"e1", map[string]int{poison: 0, "a": 0}, 0}, {"e2", map[string]int{poison: 0, "b": 0, "c": 1}, 0}},
			map[string]bool{poison: true, "a": false, "b": false, "c": false},
		},
		{
			"two losses through two instances, a third sees only other requests",
			[]loss{{"e1", map[string]int{poison: 0, "a": 2}, 0}, {"e2", map[string]int{poison: 1, "b": 2, "c": 0}, 0}},
			map[string]bool{poison: true, "a": false, "b": false, "c": false},
		},
		{
			"two losses a minute apart",
			[]loss{{"e1", map[string]int{poison: 0}, 0}, {"e2", map[string]int{poison: 1}, time.Minute}},
			map[string]bool{poison: true},
		},
		{
			"outage of several endpoints",
			[]loss{{"e1", map[string]int{"a": 0, "b": 0}, 0}, {"e2", map[string]int{"c": 0}, 0}, {"e3", map[string]int{"d": 0}, 0}},
			map[string]bool{"a": false, "b": false, "c": false, "d": false},
		},
		{
			"two losses of the same endpoint",
			[]loss{{"e1", map[string]int{"a": 0}, 0}, {"e1", map[string]int{"a": 0}, time.Minute}},
			map[string]bool{"a": false},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := newNetwork(3)
				for _, l := range tt.losses {
					time.Sleep(l.after)
					net.crash(l.endpoint, l.prompts)
				}
				for prompt, want := range tt.want {
					for i, q := range net.quarantiners {
						err := attempt(q, prompt, "e9", 0, fescuebank.AttemptAbandoned)
						if isQuarantined(err) != want {
							t.Errorf("%s at instance %d: got %v, want quarantined %v", prompt, i, err, want)
						}
					}
				}
				time.Sleep(time.Minute) // Wait until the permits are released.
			})
		})
	}
}

// TestSuspectsRunAlone checks that at most one suspect runs at an endpoint at a time,
// also when they arrive through different instances.
func TestSuspectsRunAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(3)
		net.crash("e1", map[string]int{"a": 0, "b": 0, "c": 0})
		running, maxRunning := 0, 0
		var mu sync.Mutex
		var group sync.WaitGroup
		for i, prompt := range []string{"a", "b", "c"} {
			group.Go(func() {
				endAttempt, err := net.quarantiners[i].Enter(context.Background(), &fescuebank.CompletionRequest{Prompt: prompt}, "e2")
				if err != nil {
					t.Errorf("%s: got %v, want it admitted", prompt, err)
					return
				}
				mu.Lock()
				running++
				maxRunning = max(maxRunning, running)
				mu.Unlock()
				time.Sleep(5 * time.Second)
				mu.Lock()
				running--
				mu.Unlock()
				endAttempt(fescuebank.AttemptCompleted)
			})
		}
		group.Wait()
		if maxRunning != 1 {
			t.Errorf("got %d suspects at once, want 1", maxRunning)
		}
		time.Sleep(time.Minute) // Wait until the permits are released.
	})
}

// TestCompletedRequestIsCleared checks that a suspect that completes is no longer suspect,
// so that one later loss doesn't quarantine it.
func TestCompletedRequestIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(1)
		net.crash("e1", map[string]int{"a": 0})
		if err := attempt(net.quarantiners[0], "a", "e2", time.Second, fescuebank.AttemptCompleted); err != nil {
			t.Fatal(err)
		}
		net.crash("e3", map[string]int{"a": 0})
		if err := attempt(net.quarantiners[0], "a", "e4", 0, fescuebank.AttemptCompleted); err != nil {
			t.Errorf("got %v, want it admitted, as it completed between the losses", err)
		}
		time.Sleep(time.Minute) // Wait until the permits are released.
	})
}

// lose runs a request of a class at an endpoint until the endpoint is lost.
func lose(q *quarantiner.Quarantiner, class fescuebank.WorkClass, prompt, endpoint string) error {
	endAttempt, err := q.Enter(context.Background(), &fescuebank.CompletionRequest{Prompt: prompt, Class: class}, fescuebank.EndpointID(endpoint))
	if err != nil {
		return err
	}
	endAttempt(fescuebank.AttemptLost)
	return nil
}

// TestBatchItemIsNeverQuarantined checks that endpoints lost under a batch item are held against
// neither the item nor online requests for the same.
func TestBatchItemIsNeverQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(3)
		for n := range 6 {
			if err := lose(net.quarantiners[n%3], fescuebank.Batch, "a", fmt.Sprint("e", n)); err != nil {
				t.Fatalf("after %d losses: got %v, want the item admitted", n, err)
			}
			time.Sleep(time.Minute)
		}
		for i, q := range net.quarantiners {
			if list := q.Quarantined(); len(list) > 0 {
				t.Errorf("instance %d: got %v quarantined, want none", i, list)
			}
			if err := attempt(q, "a", "e9", 0, fescuebank.AttemptCompleted); err != nil {
				t.Errorf("instance %d: got %v for an online request, want it admitted", i, err)
			}
		}
		time.Sleep(time.Minute) // Wait until the permits are released.
	})
}

// TestBatchLossIsEvidenceOfAnOutage checks that endpoints lost under online requests and batch
// items at the same time count as an outage, so that no request is suspect.
func TestBatchLossIsEvidenceOfAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(1)
		q := net.quarantiners[0]
		for n := range 2 {
			var group sync.WaitGroup
			group.Go(func() { _ = lose(q, fescuebank.Online, "a", fmt.Sprint("e", 2*n)) })
			group.Go(func() { _ = lose(q, fescuebank.Batch, "b", fmt.Sprint("e", 2*n+1)) })
			group.Wait()
			time.Sleep(time.Minute)
		}
		if err := attempt(q, "a", "e9", 0, fescuebank.AttemptCompleted); err != nil {
			t.Errorf("got %v, want the request admitted after two outages", err)
		}
		time.Sleep(time.Minute) // Wait until the permits are released.
	})
}
