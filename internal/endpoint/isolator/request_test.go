package isolator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
)

// play runs a test with its own fleet in simulated time.
func play(t *testing.T, instances int, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(newFleet(t, instances))
		time.Sleep(time.Second) // Crashes are evaluated.
	})
}

// crashUntilRefused has endpoints crash under a request at one instance after the other until it is
// refused, and returns their number.
func (f *fleet) crashUntilRefused(newRequest func() *fescuebank.Request, beside ...*fescuebank.Request) int {
	for n := range 10 {
		before := f.crashes
		if f.crash(n%len(f.instances), append(beside, newRequest())...) == len(beside) {
			return before
		}
		time.Sleep(time.Second)
	}
	return f.crashes
}

func crashing() *fescuebank.Request { return request("crash") }

// TestRequestThatCrashesEndpointsIsQuarantinedEverywhere guards against a request that crashes one
// endpoint after the other at different instances, also after all of them restarted.
func TestRequestThatCrashesEndpointsIsQuarantinedEverywhere(t *testing.T) {
	play(t, 3, func(f *fleet) {
		if got := f.crashUntilRefused(crashing); got != 2 {
			f.t.Errorf("got %d crashes, want 2", got)
		}
		f.check("quarantined", crashing(), false)
		f.check("another request", request("sound"), true)
		f.restart()
		f.check("after a restart", crashing(), false)
	})
}

// TestRequestThatCrashesBesideOthersIsQuarantined guards against a request that hides behind sound
// ones at the same endpoints.
func TestRequestThatCrashesBesideOthersIsQuarantined(t *testing.T) {
	play(t, 3, func(f *fleet) {
		for n := range 3 {
			f.crash(n, crashing(), request(fmt.Sprint("sound", n)), request(fmt.Sprint("other", n)))
			time.Sleep(time.Second)
		}
		f.check("after three crashes", crashing(), false)
		f.check("a request beside it", request("sound0"), true)
	})
}

// TestQuarantineSpreadsWithoutStore guards against an instance that restarts while the store is
// down and runs what the others have quarantined.
func TestQuarantineSpreadsWithoutStore(t *testing.T) {
	play(t, 3, func(f *fleet) {
		f.store.SetFaults(memorystorer.Faults{Down: true})
		f.crashUntilRefused(crashing)
		f.instances[2] = f.start()
		f.gossip()
		f.check("after a restart", crashing(), false)
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
			f.serve(1, r)
			f.crash(2, r)
		}},
		{"lost in one of two crashes beside others", func(f *fleet, r *fescuebank.Request) {
			f.crash(0, r, request("other"))
			f.crash(1, r, request("another"))
		}},
		{"many runs at once", func(f *fleet, r *fescuebank.Request) {
			var runs []fescuebank.GuardedRun
			for n := range 9 {
				run, _ := f.enter(n%3, r)
				runs = append(runs, run)
			}
			for _, run := range runs {
				run.RecordLost(f.newEndpoint())
				f.gossip()
				run.Leave()
			}
		}},
		{"beside a request that crashes endpoints", func(f *fleet, r *fescuebank.Request) {
			f.crash(0, crashing(), r)
			f.crash(1, crashing(), r)
			f.crash(2, crashing())
		}},
		{"connections broken by endpoints that are up", func(f *fleet, r *fescuebank.Request) {
			for n := range 5 {
				f.up[fmt.Sprint("addr-", f.crashes+1)] = true
				f.crash(n%3, r)
				time.Sleep(time.Second)
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			play(t, 3, func(f *fleet) {
				tt.play(f, request("sound"))
				time.Sleep(time.Second)
				f.gossip()
				run, ok := f.enter(1, request("sound"))
				if !ok {
					f.t.Fatal("got a refusal of a sound request, want a run")
				}
				run.Leave()
			})
		})
	}
}

// TestSuspectRunsOnceAtATime guards against a suspect that crashes several endpoints at once.
func TestSuspectRunsOnceAtATime(t *testing.T) {
	play(t, 3, func(f *fleet) {
		f.crash(0, request("suspect"))
		run, ok := f.enter(1, request("suspect"))
		if !ok {
			f.t.Fatal("got no run of a suspect, want one")
		}
		f.gossip()
		f.check("while another run lasts", request("suspect"), false)
		run.RecordLost(f.newEndpoint())
		run.Leave()
		f.gossip()
		f.check("before the crash was evaluated", request("suspect"), false)
	})
}

// TestSuspectWaitsForOtherRun guards against a refusal of a request that has time to wait.
func TestSuspectWaitsForOtherRun(t *testing.T) {
	play(t, 1, func(f *fleet) {
		f.crash(0, request("suspect"))
		run, _ := f.enter(0, request("suspect"))
		go func() {
			time.Sleep(100 * time.Millisecond)
			run.RecordCompleted()
			run.Leave()
		}()
		next, err := f.instances[0].Enter(f.t.Context(), request("suspect"), 200*time.Millisecond)
		if err != nil {
			f.t.Fatalf("got %v, want a run after the other one", err)
		}
		next.Leave()
	})
}

// TestQuarantineEnds guards against a quarantine that lasts for good, and against one that
// endpoints pay for at the same interval for ever.
func TestQuarantineEnds(t *testing.T) {
	play(t, 2, func(f *fleet) {
		f.crashUntilRefused(crashing)
		for length := minLength; length <= 8*minLength; length *= 2 {
			time.Sleep(length - 5*time.Second)
			f.check(fmt.Sprintf("before the end of %v", length), crashing(), false)
			time.Sleep(5 * time.Second)
			if got := f.crash(0, crashing()); got != 1 {
				f.t.Fatalf("after %v: got %d runs, want 1", length, got)
			}
			f.check("after one more crash", crashing(), false)
		}
	})
}

// TestQuarantineIsLiftedByAnAnswer guards against a request that stays refused although it was
// served.
func TestQuarantineIsLiftedByAnAnswer(t *testing.T) {
	play(t, 3, func(f *fleet) {
		early, _ := f.enter(1, request("sound"))
		f.crashUntilRefused(func() *fescuebank.Request { return request("sound") })
		f.check("quarantined", request("sound"), false)
		early.RecordCompleted()
		early.Leave()
		f.gossip()
		f.check("after an answer", request("sound"), true)
		time.Sleep(time.Second)
		f.restart()
		f.check("after a restart", request("sound"), true)
	})
}

// TestMemoryIsBounded guards against memory that grows with crashes under ever new requests.
func TestMemoryIsBounded(t *testing.T) {
	play(t, 2, func(f *fleet) {
		for n := range maxCrashes + 20 {
			var requests []*fescuebank.Request
			for m := range maxRequests + 4 {
				requests = append(requests, request(fmt.Sprint(n, "/", m)))
			}
			f.crash(0, requests...)
			f.serve(0, requests[0])
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
