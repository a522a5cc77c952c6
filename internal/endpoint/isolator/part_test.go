package isolator

import (
	"fmt"
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
)

// maxPartCrashes is how many endpoints may crash before a part is known.
const maxPartCrashes = 5

// holding returns a request, no two alike, whose prompt has the parts and one of its own.
func holding(parts ...string) *fescuebank.Request {
	r := request(fescuebank.NewRandomID("body"))
	for _, id := range append(parts, fescuebank.NewRandomID("own")) {
		r.Prompt = append(r.Prompt, fescuebank.PromptPart{ID: id, Tokens: 10})
	}
	return r
}

// TestPartThatCrashesEndpointsIsQuarantinedEverywhere guards against different requests with one
// part in their prompts that crash one endpoint after the other.
func TestPartThatCrashesEndpointsIsQuarantinedEverywhere(t *testing.T) {
	for _, tt := range []struct {
		name   string
		parts  []string
		beside func() []*fescuebank.Request
	}{
		{"alone", []string{"bad"}, func() []*fescuebank.Request { return nil }},
		{"behind a shared part", []string{"shared", "bad"}, func() []*fescuebank.Request { return nil }},
		{"before a shared part", []string{"bad", "shared"}, func() []*fescuebank.Request { return nil }},
		{"beside sound requests", []string{"shared", "bad"}, func() []*fescuebank.Request {
			return []*fescuebank.Request{holding("shared"), holding("shared", "other")}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			play(t, 3, func(f *fleet) {
				for n := range maxPartCrashes {
					f.crash(n%3, append(tt.beside(), holding(tt.parts...))...)
					f.serve((n+1)%3, holding("shared"))
					f.serve((n+2)%3, holding("shared", "other"))
				}
				f.check("quarantined", holding(tt.parts...), false)
				f.check("the shared part", holding("shared"), true)
				f.check("the shared part beside another", holding("shared", "other"), true)
				f.restart()
				f.check("after a restart", holding(tt.parts...), false)
				f.check("the shared part after a restart", holding("shared"), true)
			})
		})
	}
}

// TestPartIsFoundAlthoughRequestsAreRetried guards against blame for each request in turn, in place
// of the part that they hold.
func TestPartIsFoundAlthoughRequestsAreRetried(t *testing.T) {
	play(t, 3, func(f *fleet) {
		for n := range 3 {
			r := holding("shared", "bad")
			for f.crash(n, r) > 0 {
				f.serve(n, holding("shared"))
			}
		}
		if f.crashes > maxPartCrashes {
			f.t.Errorf("got %d crashes, want at most %d", f.crashes, maxPartCrashes)
		}
		f.check("the part", holding("shared", "bad"), false)
	})
}

// TestPartsThatAlwaysCrashTogether guards against the refusal of a sound part that all requests
// with the bad one hold too, and against requests that hold the bad one without it.
func TestPartsThatAlwaysCrashTogether(t *testing.T) {
	play(t, 3, func(f *fleet) {
		f.crashUntilRefused(func() *fescuebank.Request { return holding("rare", "bad") })
		f.check("both parts", holding("rare", "bad"), false)
		run, ok := f.enter(1, holding("rare"))
		if !ok {
			f.t.Fatal("got a refusal of the sound part, want a run")
		}
		run.RecordCompleted()
		run.Leave()
		f.gossip()
		f.check("the bad part in another prompt", holding("another", "bad"), false)
		f.check("the sound part", holding("rare"), true)
	})
}

// TestBadPartIsFoundAmongOthers guards against a bad part that goes on crashing endpoints in
// prompts without the parts that were beside it at first.
func TestBadPartIsFoundAmongOthers(t *testing.T) {
	play(t, 3, func(f *fleet) {
		crashes := f.crashUntilRefused(func() *fescuebank.Request { return holding("rare", "bad") })
		crashes = f.crashUntilRefused(func() *fescuebank.Request { return holding("bad") }) - crashes
		if crashes > 1 {
			f.t.Errorf("got %d more crashes, want at most 1", crashes)
		}
		f.check("the bad part with others", holding("x", "bad", "y"), false)
		f.check("the part beside it", holding("rare"), true)
	})
}

// TestSoundPartIsNotQuarantined guards against taking a part for the cause of crashes that have
// another one.
func TestSoundPartIsNotQuarantined(t *testing.T) {
	for _, tt := range []struct {
		name string
		play func(f *fleet)
	}{
		{"endpoints lost at the same moment", func(f *fleet) {
			var runs []fescuebank.GuardedRun
			for n := range 9 {
				run, _ := f.enter(n%3, holding("part"))
				runs = append(runs, run)
			}
			for _, run := range runs {
				run.RecordLost(f.newEndpoint())
				f.gossip()
				run.Leave()
			}
		}},
		{"served between crashes", func(f *fleet) {
			for n := range 10 {
				f.crash(n%3, holding("part"))
				f.serve((n+1)%3, holding("part"))
			}
		}},
		{"one request that crashes endpoints holds it", func(f *fleet) {
			again := holding("part")
			f.crashUntilRefused(func() *fescuebank.Request { return again })
		}},
		{"beside requests with a part that crashes endpoints", func(f *fleet) {
			for range 2 {
				f.crash(0, holding("shared", "bad"), holding("shared", "part"))
				f.serve(1, holding("shared"))
				f.crash(2, holding("shared", "bad"))
			}
			f.check("the bad part", holding("shared", "bad"), false)
		}},
		{"two crashes", func(f *fleet) {
			f.crash(0, holding("part"))
			f.crash(1, holding("part"))
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			play(t, 3, func(f *fleet) {
				tt.play(f)
				time.Sleep(time.Second)
				f.gossip()
				run, ok := f.enter(1, holding("part"))
				if !ok {
					f.t.Fatal("got a refusal of a sound request, want a run")
				}
				run.Leave()
			})
		})
	}
}

// TestSuspectPartRunsOnceAtATime guards against many requests with a suspect part at once.
func TestSuspectPartRunsOnceAtATime(t *testing.T) {
	play(t, 3, func(f *fleet) {
		f.crash(0, holding("bad"))
		f.crash(1, holding("bad"))
		run, ok := f.enter(2, holding("bad"))
		if !ok {
			f.t.Fatal("got no run of a suspect part, want one")
		}
		f.gossip()
		f.check("while another run lasts", holding("bad"), false)
		f.check("another part", holding("sound"), true)
		run.Leave()
	})
}

// TestPartQuarantineEnds guards against a part that stays refused for good.
func TestPartQuarantineEnds(t *testing.T) {
	play(t, 3, func(f *fleet) {
		f.crashUntilRefused(func() *fescuebank.Request { return holding("shared", "bad") })
		time.Sleep(minLength)
		run, ok := f.enter(0, holding("shared", "bad"))
		if !ok {
			f.t.Fatal("got a refusal after the quarantine, want a run")
		}
		f.gossip()
		f.check("while a run lasts", holding("shared", "bad"), false)
		run.RecordCompleted()
		run.Leave()
		f.gossip()
		f.check("after an answer", holding("shared", "bad"), true)
		time.Sleep(time.Second)
		f.restart()
		f.check("after a restart", holding("shared", "bad"), true)
	})
}

// TestPartQuarantineSpreadsWithoutStore guards against an instance that restarts while the store
// is down and runs what the others have quarantined.
func TestPartQuarantineSpreadsWithoutStore(t *testing.T) {
	play(t, 3, func(f *fleet) {
		f.store.SetFaults(memorystorer.Faults{Down: true})
		f.crashUntilRefused(func() *fescuebank.Request { return holding("bad") })
		f.instances[2] = f.start()
		f.gossip()
		f.check("after a restart", holding("bad"), false)
	})
}

// TestInventedPartsUseBoundedMemory guards against callers that fill the memory with parts.
func TestInventedPartsUseBoundedMemory(t *testing.T) {
	play(t, 1, func(f *fleet) {
		for n := range maxCrashes + 10 {
			var parts []string
			for m := range 100 {
				parts = append(parts, fmt.Sprint(n, "/", m))
			}
			f.serve(0, holding(parts...))
			f.crash(0, holding(parts...))
			f.serve(0, holding(parts...))
		}
		const maxKeys = 17 * maxCrashes
		if got := len(f.instances[0].evidence.completed); got > maxKeys {
			f.t.Errorf("got %d completions, want at most %d", got, maxKeys)
		}
	})
}

// TestQuarantineThatAnotherOneExplainsIsLifted guards against a sound part that stays refused after
// the part that crashed the endpoints in its place was found.
func TestQuarantineThatAnotherOneExplainsIsLifted(t *testing.T) {
	play(t, 3, func(f *fleet) {
		f.crash(0, holding("sound", "bad"))
		f.crash(1, holding("sound"), holding("bad"))
		first, _ := f.enter(0, holding("sound"))
		second, _ := f.enter(1, holding("sound", "bad"))
		e := f.newEndpoint()
		for _, run := range []fescuebank.GuardedRun{first, second} {
			run.RecordLost(e)
			run.Leave()
		}
		f.gossip()
		time.Sleep(2 * settleMargin)
		f.gossip()
		f.check("the sound part in three crashes", holding("sound"), false)
		f.crashUntilRefused(func() *fescuebank.Request { return holding("bad") })
		f.gossip()
		f.check("the bad part", holding("bad"), false)
		f.check("the sound part afterwards", holding("sound"), true)
	})
}
