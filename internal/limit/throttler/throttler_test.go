package throttler_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/limit/limiter"
	"fescuebank/internal/limit/throttler"
	"fescuebank/internal/timing/timekeeper"
)

const (
	service  = fescuebank.ServiceName("s")
	zone     = fescuebank.Zone("a")
	step     = 10 * time.Millisecond
	coldTime = 3 * time.Second
)

// fleet is a set of instances of which each has a request for each endpoint at any time.
type fleet struct {
	rate      fescuebank.RequestRate
	bounds    fescuebank.ColdBounds
	ids       []fescuebank.InstanceID
	instances []*throttler.Throttler
	endpoints []fescuebank.ServedEndpoint
	// sent holds when each endpoint got a request while it was cold.
	sent map[fescuebank.EndpointID][]time.Time
	// coldUntil is when the endpoints really cease to be cold, and coldFor how long they were in all.
	coldUntil time.Time
	coldFor   time.Duration
}

func newFleet(size int, rate fescuebank.RequestRate, bounds fescuebank.ColdBounds) *fleet {
	f := &fleet{rate: rate, bounds: bounds, sent: make(map[fescuebank.EndpointID][]time.Time)}
	for i := range 8 {
		f.endpoints = append(f.endpoints, fescuebank.ServedEndpoint{
			ID: fescuebank.EndpointID(fmt.Sprint("i-", i)), Service: service, Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: zone, Slots: 8,
			StartedUnixMilli: 1, EntryVersion: 1,
		})
	}
	for range size {
		f.add()
	}
	for i := range f.ids {
		f.restart(i)
	}
	return f
}

// add adds an instance, which the others don't know yet.
func (f *fleet) add() {
	f.ids = append(f.ids, fescuebank.InstanceID(fmt.Sprint("instance-", len(f.ids))))
	f.instances = append(f.instances, nil)
	f.restart(len(f.ids) - 1)
}

// restart replaces an instance by one that has read the members and the entries.
func (f *fleet) restart(i int) {
	clock := timekeeper.Timekeeper{}
	inner := limiter.New(limiter.Config{Self: f.ids[i], Clock: clock, Announce: func() {}, Log: hclog.NewNullLogger()})
	t := throttler.New(throttler.Config{
		Self: f.ids[i], Clock: clock, Limiter: inner, Bounds: f.bounds, Announce: func() {}, Log: hclog.NewNullLogger(),
	})
	t.SetServices(map[fescuebank.ServiceName]fescuebank.RoutedService{service: {Name: service, ColdRate: f.rate, ColdTime: coldTime}})
	t.SetEndpoints(f.endpoints)
	f.instances[i] = t
	f.learnMembers(i)
}

// learnMembers has an instance read the members.
func (f *fleet) learnMembers(i int) {
	f.instances[i].SetMembers(slices.DeleteFunc(slices.Clone(f.ids), func(id fescuebank.InstanceID) bool { return id == f.ids[i] }))
}

// startColdUnseen makes all endpoints cold, which no entry says.
func (f *fleet) startColdUnseen() {
	f.coldUntil = time.Now().Add(coldTime)
	f.coldFor += coldTime
}

// startCold makes all endpoints cold. The entries say so at once.
func (f *fleet) startCold() {
	f.startColdUnseen()
	for i := range f.endpoints {
		f.endpoints[i].ColdLeft = coldTime
		f.endpoints[i].EntryVersion++
	}
}

// readEntries has the instances read the entries.
func (f *fleet) readEntries(instances ...int) {
	for _, i := range instances {
		f.instances[i].SetEndpoints(slices.Clone(f.endpoints))
	}
}

// run has the instances send what they may for the duration d.
func (f *fleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		for _, t := range f.instances {
			for _, e := range f.endpoints {
				share, limited := t.Share(e.ID)
				if limited && share.Available < 1 {
					continue
				}
				t.Take(e.ID)
				if time.Now().Before(f.coldUntil) {
					f.sent[e.ID] = append(f.sent[e.ID], time.Now())
				}
			}
		}
	}
}

// mostInOneSecond returns the largest number of requests that a cold endpoint got within one second.
func (f *fleet) mostInOneSecond() int {
	most := 0
	for _, sent := range f.sent {
		for i, at := range sent {
			count := 0
			for _, next := range sent[i:] {
				if next.Sub(at) < time.Second {
					count++
				}
			}
			most = max(most, count)
		}
	}
	return most
}

func (f *fleet) total() int {
	total := 0
	for _, sent := range f.sent {
		total += len(sent)
	}
	return total
}

func indices(n int) []int {
	list := make([]int, n)
	for i := range n {
		list[i] = i
	}
	return list
}

// TestColdEndpointsGetNoMoreThanTheyBear guards against parts that add up to more than the bound, or to so
// little that cold endpoints take no load off the others.
func TestColdEndpointsGetNoMoreThanTheyBear(t *testing.T) {
	const size = 73
	for _, tt := range []struct {
		name   string
		rate   fescuebank.RequestRate
		bounds fescuebank.ColdBounds
		size   int
		// disturb lets the endpoints become cold and the fleet run until they aren't.
		disturb func(f *fleet)
		// least is the least share of the rate that has to be used.
		least float64
	}{
		{"entries read by all", 8.5, fescuebank.ColdBounds{Overage: 1.5, Slack: 5}, size, func(f *fleet) {
			f.startCold()
			f.readEntries(indices(size)...)
			f.run(coldTime)
		}, 0.8},
		{"large rate, little excess", 40, fescuebank.ColdBounds{Overage: 1, Slack: 3}, size, func(f *fleet) {
			f.startCold()
			f.readEntries(indices(size)...)
			f.run(coldTime)
		}, 0.8},
		{"hardly any excess", 4, fescuebank.ColdBounds{Overage: 1, Slack: 1}, 4, func(f *fleet) {
			f.startCold()
			f.readEntries(indices(4)...)
			f.run(coldTime)
		}, 0.8},
		{"hardly any excess, fewer instances than requests", 4, fescuebank.ColdBounds{Overage: 1, Slack: 1}, 3, func(f *fleet) {
			f.startCold()
			f.readEntries(indices(3)...)
			f.run(coldTime)
		}, 0.8},
		{"small rate", 0.8, fescuebank.ColdBounds{Overage: 1.5, Slack: 1}, size, func(f *fleet) {
			f.startCold()
			f.readEntries(indices(size)...)
			f.run(coldTime)
		}, 0.5},
		{"small fleet", 8.5, fescuebank.ColdBounds{Overage: 1.5, Slack: 5}, 3, func(f *fleet) {
			f.startCold()
			f.readEntries(indices(3)...)
			f.run(coldTime)
		}, 0.8},
		{"cold twice in succession", 8.5, fescuebank.ColdBounds{Overage: 1.5, Slack: 5}, size, func(f *fleet) {
			for range 2 {
				f.startCold()
				f.readEntries(indices(size)...)
				f.run(coldTime - step)
			}
		}, 0.8},
		{"evacuation ends before the entries say that they are cold", 8.5, fescuebank.ColdBounds{Overage: 1.5, Slack: 5}, size, func(f *fleet) {
			f.startCold()
			for _, instance := range f.instances {
				instance.ObserveReturn([]fescuebank.Zone{zone})
			}
			f.run(coldTime / 2)
			f.readEntries(indices(size)...)
			f.run(coldTime / 2)
		}, 0.8},
		{"half of the instances restart", 8.5, fescuebank.ColdBounds{Overage: 1.5, Slack: 5}, size, func(f *fleet) {
			f.startCold()
			f.readEntries(indices(size)...)
			f.run(coldTime / 3)
			for i := range size / 2 {
				f.restart(i)
			}
			f.run(2 * coldTime / 3)
		}, 0.8},
		{"a third of the instances isolated", 8.5, fescuebank.ColdBounds{Overage: 1.5, Slack: 5}, size, func(f *fleet) {
			for i := range size / 3 {
				f.instances[i].SetIsolated(true)
			}
			f.run(time.Second)
			f.startCold()
			f.readEntries(indices(size)[size/3:]...)
			f.run(coldTime)
		}, 0.8},
		{"new instances that the others don't know", 8.5, fescuebank.ColdBounds{Overage: 1.5, Slack: 5}, size, func(f *fleet) {
			f.startCold()
			f.readEntries(indices(size)...)
			f.run(coldTime / 3)
			for range 12 {
				f.add()
			}
			f.run(coldTime / 3)
			for i := range f.instances {
				f.learnMembers(i)
			}
			f.run(coldTime / 3)
		}, 0.8},
		{"one instance was refused, the others learn it from gossip", 8.5, fescuebank.ColdBounds{Overage: 1.5, Slack: 5}, size, func(f *fleet) {
			var g fescuebank.ZoneGossip
			for _, e := range f.endpoints {
				f.instances[0].ObserveRefused(e.Addr, true)
			}
			f.instances[0].FillGossip(&g)
			for _, instance := range f.instances[1:] {
				instance.ApplyGossip(&g)
			}
			f.startColdUnseen()
			f.run(coldTime)
		}, 0.8},
		{"one instance read it in a response", 8.5, fescuebank.ColdBounds{Overage: 1.5, Slack: 5}, size, func(f *fleet) {
			var g fescuebank.ZoneGossip
			for _, e := range f.endpoints {
				f.instances[5].ObserveCold(e.ID, coldTime)
			}
			f.instances[5].FillGossip(&g)
			for i, instance := range f.instances {
				if i != 5 {
					instance.ApplyGossip(&g)
				}
			}
			f.startColdUnseen()
			f.run(coldTime)
		}, 0.8},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(tt.size, tt.rate, tt.bounds)
				tt.disturb(f)
				bound := float64(tt.rate)*tt.bounds.Overage + float64(tt.bounds.Slack)
				got := f.mostInOneSecond()
				used := float64(f.total()) / (float64(tt.rate) * f.coldFor.Seconds() * float64(len(f.endpoints)))
				t.Logf("at most %d requests in a second, bound %.1f; %.2f of the rate used", got, bound, used)
				if float64(got) > bound {
					t.Errorf("got %d requests in a second, want at most %.1f", got, bound)
				}
				if used < tt.least {
					t.Errorf("got %.2f of the rate used, want at least %.2f", used, tt.least)
				}
			})
		})
	}
}

// TestColdTimeEnds checks when an endpoint ceases to count as cold, and which entries shorten or prolong that.
func TestColdTimeEnds(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(f *fleet)
		want   time.Duration
	}{
		{"entry", func(f *fleet) {
			f.startCold()
			f.readEntries(0)
		}, coldTime},
		{"entry read twice", func(f *fleet) {
			f.startCold()
			f.readEntries(0)
			time.Sleep(time.Second)
			f.readEntries(0)
		}, coldTime - time.Second},
		{"another incarnation that is warm", func(f *fleet) {
			f.startCold()
			f.readEntries(0)
			f.endpoints[0].StartedUnixMilli, f.endpoints[0].ColdLeft = 2, 0
			f.readEntries(0)
		}, 0},
		{"entry that was written before the end of the evacuation", func(f *fleet) {
			f.instances[0].ObserveReturn([]fescuebank.Zone{zone})
			f.endpoints[0].EntryVersion++
			f.readEntries(0)
		}, coldTime},
		{"another zone", func(f *fleet) { f.instances[0].ObserveReturn([]fescuebank.Zone{"b"}) }, 0},
		{"refused", func(f *fleet) { f.instances[0].ObserveRefused(f.endpoints[0].Addr, false) }, coldTime + time.Second},
		{"service without a cold rate", func(f *fleet) {
			f.instances[0].SetServices(map[fescuebank.ServiceName]fescuebank.RoutedService{service: {Name: service}})
			f.startCold()
			f.readEntries(0)
		}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1, 8, fescuebank.ColdBounds{Overage: 1.5, Slack: 5})
				tt.change(f)
				var got time.Duration
				for ; got < time.Minute; got += step {
					if _, limited := f.instances[0].Share(f.endpoints[0].ID); !limited {
						break
					}
					time.Sleep(step)
				}
				if got != tt.want {
					t.Errorf("got cold for %v, want %v", got, tt.want)
				}
			})
		})
	}
}
