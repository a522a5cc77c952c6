package isolator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
)

// run runs a test with its own fleet in simulated time.
func run(t *testing.T, instances int, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(newFleet(t, instances)) })
}

// crashApart has endpoints crash under a request at one instance after the other.
func (f *fleet) crashApart(count int, newRequest func() *fescuebank.Request) {
	for n := range count {
		f.crash(n%len(f.instances), newRequest())
		f.gossip()
		time.Sleep(time.Second)
	}
}

// TestRequestThatCrashesEndpointsIsQuarantinedEverywhere guards against a request that crashes one
// endpoint after the other at different instances, also after all of them restarted.
func TestRequestThatCrashesEndpointsIsQuarantinedEverywhere(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.crashApart(2, func() *fescuebank.Request { return request("crash") })
		f.check("after two crashes", request("crash"), false)
		f.check("after two crashes", request("sound"), true)
		f.restart()
		f.check("after a restart", request("crash"), false)
	})
}

// TestQuarantineSpreadsWithoutStore guards against an instance that restarts while the store is
// down and runs what the others have quarantined.
func TestQuarantineSpreadsWithoutStore(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.store.SetFaults(memorystorer.Faults{Down: true})
		f.crashApart(2, func() *fescuebank.Request { return request("crash") })
		f.instances[2] = f.start()
		f.gossip()
		f.check("after a restart", request("crash"), false)
	})
}

// TestSoundRequestIsNotQuarantined guards against taking a request for the cause of crashes that
// have another one.
func TestSoundRequestIsNotQuarantined(t *testing.T) {
	for _, tt := range []struct {
		name string
		play func(f *fleet, r *fescuebank.Request)
	}{
		{"one crash", func(f *fleet, r *fescuebank.Request) { f.crash(0, r) }},
		{"served between two crashes", func(f *fleet, r *fescuebank.Request) {
			f.crash(0, r)
			f.gossip()
			f.instances[1].RecordCompleted(r)
			f.gossip()
			f.crash(2, r)
		}},
		{"crashes at the same moment", func(f *fleet, r *fescuebank.Request) {
			for n := range 6 {
				f.crash(n%3, r)
				time.Sleep(10 * time.Millisecond)
			}
		}},
		{"one crash reported by three instances", func(f *fleet, r *fescuebank.Request) {
			for n := range 3 {
				f.crashes = 0
				f.crash(n, r)
				time.Sleep(time.Second)
			}
		}},
		{"connections broken by endpoints that are up", func(f *fleet, r *fescuebank.Request) {
			for n := range 5 {
				f.up[fmt.Sprint("addr-", f.crashes+1)] = true
				f.crash(n%3, r)
				f.gossip()
				time.Sleep(time.Second)
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			run(t, 3, func(f *fleet) {
				tt.play(f, request("sound"))
				f.gossip()
				f.check("afterwards", request("sound"), true)
			})
		})
	}
}

// TestSuspectRunsOnceAtATime guards against a suspect that crashes several endpoints at once.
func TestSuspectRunsOnceAtATime(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.crash(0, request("suspect"))
		f.gossip()
		leave, ok := f.enter(1, request("suspect"))
		if !ok {
			f.t.Fatal("got no run of a suspect, want one")
		}
		f.gossip()
		f.check("while another run lasts", request("suspect"), false)
		leave()
		f.gossip()
		f.check("after the other run", request("suspect"), true)
	})
}

// TestSuspectWaitsForOtherRun guards against a refusal of a request that has time to wait.
func TestSuspectWaitsForOtherRun(t *testing.T) {
	run(t, 1, func(f *fleet) {
		f.crash(0, request("suspect"))
		leave, _ := f.enter(0, request("suspect"))
		go func() {
			time.Sleep(100 * time.Millisecond)
			f.instances[0].RecordCompleted(request("suspect"))
			leave()
		}()
		next, err := f.instances[0].Enter(f.t.Context(), request("suspect"), 200*time.Millisecond)
		if err != nil {
			f.t.Fatalf("got %v, want a run after the other one", err)
		}
		next()
	})
}

// TestQuarantineEnds guards against a quarantine that lasts for good, and against one that
// endpoints pay for at the same interval for ever.
func TestQuarantineEnds(t *testing.T) {
	run(t, 2, func(f *fleet) {
		f.crashApart(2, func() *fescuebank.Request { return request("crash") })
		for length := minLength; length <= 8*minLength; length *= 2 {
			time.Sleep(length - 3*time.Second)
			f.check(fmt.Sprintf("before the end of %v", length), request("crash"), false)
			time.Sleep(4 * time.Second)
			f.check(fmt.Sprintf("after %v", length), request("crash"), true)
			f.crash(0, request("crash"))
			f.gossip()
			f.check("after one more crash", request("crash"), false)
		}
	})
}

// TestQuarantineIsLiftedByAnAnswer guards against a request that stays refused although it was
// served.
func TestQuarantineIsLiftedByAnAnswer(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.crashApart(2, func() *fescuebank.Request { return request("sound") })
		f.instances[1].RecordCompleted(request("sound"))
		f.gossip()
		f.check("after an answer", request("sound"), true)
		time.Sleep(time.Second)
		f.restart()
		f.check("after a restart", request("sound"), true)
	})
}

// TestMemoryIsBounded guards against memory that grows with crashes under ever new requests.
func TestMemoryIsBounded(t *testing.T) {
	run(t, 2, func(f *fleet) {
		for n := range maxCrashes + 20 {
			var requests []*fescuebank.Request
			for m := range maxRequests + 4 {
				requests = append(requests, request(fmt.Sprint(n, "/", m)))
			}
			f.crash(0, requests...)
			f.instances[0].RecordCompleted(requests[0])
			f.gossip()
		}
		for n, i := range f.instances {
			if got := len(i.evidence.crashes); got > maxCrashes {
				f.t.Errorf("instance %d: got %d crashes, want at most %d", n, got, maxCrashes)
			}
			if got := len(i.evidence.completed); got > maxCrashes*maxRequests {
				f.t.Errorf("instance %d: got %d completions, want at most %d", n, got, maxCrashes*maxRequests)
			}
		}
	})
}
