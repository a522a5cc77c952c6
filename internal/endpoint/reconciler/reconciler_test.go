package reconciler_test

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
	"fescuebank/internal/endpoint/reconciler"
	"fescuebank/internal/timing/timekeeper"
)

const staleCommandWait = 5 * time.Second

// directory is a fake whose fencing number applies to every shard.
type directory struct {
	fescuebank.Directory
	fencing fescuebank.FencingNumber
	mayAct  bool
}

func (d *directory) MayAct(fescuebank.ShardID) (fescuebank.FencingNumber, bool) {
	return d.fencing, d.mayAct
}

type source struct{ state *fescuebank.DesiredState }

func (s source) Current() *fescuebank.Snapshot { return fescuebank.NewSnapshot(s.state) }

// fleet is a set of endpoints that execute commands without delay.
type fleet struct {
	mu       sync.Mutex
	loaded   map[fescuebank.EndpointID]map[fescuebank.ModelName]string
	dead     map[fescuebank.EndpointID]bool
	commands int
	fail     error
}

func (f *fleet) report(id fescuebank.EndpointID) (fescuebank.LoadReport, bool) {
	var r fescuebank.LoadReport
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, version := range f.loaded[id] {
		r.Loaded = append(r.Loaded, fescuebank.LoadedModel{Name: name, Version: version})
	}
	return r, !f.dead[id]
}

func (f *fleet) command(_ context.Context, id fescuebank.EndpointID, command fescuebank.Command) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commands++
	if f.fail != nil {
		return f.fail
	}
	if command.Kind == fescuebank.CommandUnloadModel {
		delete(f.loaded[id], command.Model)
		return nil
	}
	f.loaded[id][command.Model] = command.Version
	return nil
}

func (f *fleet) replicas(name fescuebank.ModelName, version string) int {
	n := 0
	for id, models := range f.loaded {
		if models[name] == version && !f.dead[id] {
			n++
		}
	}
	return n
}

func newFleet(endpoints, replicas int, fencing fescuebank.FencingMode) (*fescuebank.DesiredState, *fleet) {
	state := &fescuebank.DesiredState{Models: []fescuebank.Model{{Name: "m", Version: "v1", Replicas: replicas}}}
	f := &fleet{loaded: map[fescuebank.EndpointID]map[fescuebank.ModelName]string{}, dead: map[fescuebank.EndpointID]bool{}}
	for n := range endpoints {
		id := fescuebank.EndpointID(fmt.Sprint("e", n))
		state.Endpoints = append(state.Endpoints, fescuebank.EndpointSpec{ID: id, Models: []fescuebank.ModelName{"m"}, Fencing: fencing})
		f.loaded[id] = map[fescuebank.ModelName]string{}
	}
	return state, f
}

func newReconciler(state *fescuebank.DesiredState, f *fleet, d *directory) *reconciler.Reconciler {
	return reconciler.New(reconciler.Config{
		Directory: d, Source: source{state}, Clock: timekeeper.Timekeeper{}, Log: hclog.NewNullLogger(), StaleCommandWait: staleCommandWait,
		Report: f.report, SendCommand: f.command,
	})
}

// reconcile runs n reconciliations, one a second.
func reconcile(r *reconciler.Reconciler, n int) {
	for range n {
		r.Reconcile(context.Background())
		synctest.Wait()
		time.Sleep(time.Second)
	}
}

func TestPlacementConverges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state, f := newFleet(6, 3, fescuebank.FencingChecked)
		r := newReconciler(state, f, &directory{fencing: 1, mayAct: true})
		reconcile(r, 5)
		if got := f.replicas("m", "v1"); got != 3 {
			t.Fatalf("got %d replicas, want 3", got)
		}
		state.Models[0].Version = "v2"
		reconcile(r, 5)
		if got, old := f.replicas("m", "v2"), f.replicas("m", "v1"); got != 3 || old != 0 {
			t.Errorf("new version: got %d replicas and %d of the old one, want 3 and 0", got, old)
		}
		for id := range f.loaded {
			if f.loaded[id]["m"] != "" {
				f.dead[id] = true
				break
			}
		}
		reconcile(r, 5)
		if got := f.replicas("m", "v2"); got != 3 {
			t.Errorf("after a loss: got %d replicas, want 3 again", got)
		}
		settled := f.commands
		reconcile(r, 20)
		if f.commands != settled {
			t.Errorf("got %d more commands to a converged fleet, want none", f.commands-settled)
		}
	})
}

// TestNewOwnerWaitsForStaleCommands checks that a new owner sends no command to an endpoint
// that ignores fencing while a command of the former owner may still be in flight.
func TestNewOwnerWaitsForStaleCommands(t *testing.T) {
	for _, tt := range []struct {
		mode fescuebank.FencingMode
		want int
	}{{fescuebank.FencingIgnored, 0}, {fescuebank.FencingChecked, 1}} {
		t.Run(string(tt.mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				state, f := newFleet(1, 1, tt.mode)
				d := &directory{fencing: 1, mayAct: true}
				r := newReconciler(state, f, d)
				reconcile(r, 8)
				state.Models[0].Version = "v2"
				d.fencing = 2
				f.commands = 0
				reconcile(r, 4)
				if f.commands != tt.want {
					t.Errorf("got %d commands within the wait, want %d", f.commands, tt.want)
				}
				reconcile(r, 4)
				if got := f.replicas("m", "v2"); got != 1 {
					t.Errorf("got %d endpoints with the new version, want 1", got)
				}
			})
		})
	}
}

func TestFailedCommandsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state, f := newFleet(1, 1, fescuebank.FencingChecked)
		f.fail = errors.New("weight store responded with 429")
		r := newReconciler(state, f, &directory{fencing: 1, mayAct: true})
		reconcile(r, 120)
		const maxCommands = 15
		if f.commands > maxCommands || f.commands < 3 {
			t.Errorf("got %d commands in 120 s, want 3 to %d", f.commands, maxCommands)
		}
	})
}

func TestNonOwnerSendsNoCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state, f := newFleet(2, 2, fescuebank.FencingChecked)
		reconcile(newReconciler(state, f, &directory{fencing: 1}), 5)
		if f.commands != 0 {
			t.Errorf("got %d commands, want none", f.commands)
		}
	})
}
