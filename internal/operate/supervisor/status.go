package supervisor

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"fescuebank"
)

// statusTimeout bounds the status call to one peer.
const statusTimeout = 3 * time.Second

// Status returns this instance's state.
func (v *Supervisor) Status() fescuebank.InstanceStatus {
	queued, _ := v.scheduler.Waiting()
	s := fescuebank.InstanceStatus{
		Instance: v.self, Incarnation: v.leaser.Holder().Incarnation, Leaving: v.drainer.Leaving(),
		LeaseFresh: v.leaser.Valid(), Generation: v.applier.Current().State.Generation,
		Assignment: v.registrar.Current().Version, InFlight: v.drainer.InFlight(), Queued: queued,
		Started: v.started.UTC(), Totals: v.Totals(), Quarantined: v.quarantiner.Quarantined(),
		Levels: v.collector.Levels(),
	}
	for n := range fescuebank.ShardCount {
		if _, owned := v.registrar.MayAct(fescuebank.ShardID(n)); owned {
			s.OwnedShards++
		}
	}
	s.Endpoints = v.endpointStatus()
	return s
}

// Totals returns this instance's counts since its start.
func (v *Supervisor) Totals() fescuebank.Totals {
	totals := v.collector.Totals()
	traffic := v.messenger.Traffic()
	totals.PeerRequests, totals.PeerBytes = traffic.Requests, traffic.Bytes
	return totals
}

func (v *Supervisor) endpointStatus() []fescuebank.EndpointStatus {
	var list []fescuebank.EndpointStatus
	for _, t := range v.balancer.Targets() {
		spec := t.Spec()
		report, _ := v.connector.Report(spec.ID)
		_, owned := v.registrar.MayAct(fescuebank.ShardOf(string(spec.ID)))
		list = append(list, fescuebank.EndpointStatus{
			ID: spec.ID, Zone: spec.Zone, Online: t.Online(), Limit: t.Limit(), OtherRequests: t.OtherRequests(), Batch: t.Batch(),
			Slots: spec.Slots, Open: v.balancer.Available(t), Owned: owned,
			Running: report.Running, Waiting: report.Waiting, Models: v.servedModels(spec.ID),
		})
	}
	slices.SortFunc(list, func(a, b fescuebank.EndpointStatus) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

func (v *Supervisor) handleStatus(context.Context, func(into any) error) (any, error) {
	text, err := json.Marshal(v.Status())
	if err != nil {
		return nil, err
	}
	return &fescuebank.StatusReply{JSON: text}, nil
}

// FleetStatus returns the state of every instance that responds, and the ids of those that
// don't.
func (v *Supervisor) FleetStatus(ctx context.Context) ([]fescuebank.InstanceStatus, []fescuebank.InstanceID) {
	const maxCalls = 16
	var mu sync.Mutex
	found := []fescuebank.InstanceStatus{v.Status()}
	var missing []fescuebank.InstanceID
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxCalls)
	for _, m := range v.registrar.Current().Members {
		if m.ID == v.self.ID {
			continue
		}
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			s, err := v.fetchStatus(ctx, m.Instance)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, m.ID)
				return
			}
			found = append(found, s)
		})
	}
	group.Wait()
	slices.SortFunc(found, func(a, b fescuebank.InstanceStatus) int {
		return strings.Compare(string(a.Instance.ID), string(b.Instance.ID))
	})
	slices.Sort(missing)
	return found, missing
}

func (v *Supervisor) fetchStatus(ctx context.Context, i fescuebank.Instance) (fescuebank.InstanceStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var reply fescuebank.StatusReply
	var s fescuebank.InstanceStatus
	if err := v.messenger.Call(ctx, i.PeerAddr, fescuebank.KindStatus, &fescuebank.StatusRequest{}, &reply); err != nil {
		return s, err
	}
	return s, json.Unmarshal(reply.JSON, &s)
}

// MemberCount returns the number of members of the assignment.
func (v *Supervisor) MemberCount() int {
	return len(v.registrar.Current().Members)
}

// RunningItems returns the number of batch items that run on endpoints owned by this
// instance.
func (v *Supervisor) RunningItems() int {
	return v.dispatcher.Running()
}

// WithdrawKey withdraws a key on all instances. It reports whether the withdrawal has
// been stored.
func (v *Supervisor) WithdrawKey(ctx context.Context, h fescuebank.KeyHash) bool {
	return v.withdrawer.Withdraw(ctx, h, v.registrar.Instances())
}

// Edit applies a change to the newest desired state and publishes the result.
func (v *Supervisor) Edit(ctx context.Context, change func(*fescuebank.DesiredState) error) (fescuebank.Generation, error) {
	return v.publisher.Edit(ctx, change)
}

// Apply publishes a desired state.
func (v *Supervisor) Apply(ctx context.Context, d *fescuebank.DesiredState) (fescuebank.Generation, error) {
	return v.publisher.Apply(ctx, d)
}
