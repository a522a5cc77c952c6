package lab

import (
	"fmt"
	"strings"
	"time"
)

const (
	// Completion is completionS of celeste-pesca.
	Completion = 18 * time.Second
	// Calm and recent are the spans that the rule on items that aren't listed looks back.
	Calm   = 5 * time.Second
	recent = 3 * time.Second
	// JobItems is the number of items of each job.
	JobItems = 10
	// StoreDelay is the time of an answer of the platform's store.
	StoreDelay = 4 * time.Millisecond
	// burstPause is the time between two jobs of a burst.
	burstPause = 320 * time.Millisecond
	// sampleStep is the time between two counts of runs.
	sampleStep = 50 * time.Millisecond

	readPause     = 500 * time.Millisecond
	submitRetries = 20
	readyTimeout  = 20 * time.Second
	statusOK      = 200
	statusTaken   = 202
)

// Scene is a fleet with a caller and the record of what they do.
type Scene struct {
	*Record
	*Fleet
	Caller *Caller
	// Addr is the address of the store.
	Addr string
}

// Stage starts three entries and three owners in three zones, with a configuration and workers.
func Stage(record *Record, config string, workers []*Worker) (*Scene, error) {
	store := NewStore(StoreDelay)
	addr, err := store.Listen()
	if err != nil {
		return nil, err
	}
	fleet, err := NewFleet(store)
	if err != nil {
		return nil, err
	}
	s := &Scene{Record: record, Fleet: fleet, Addr: addr, Caller: NewCaller("nony24.example", "i9n73hh2b9wu3fexd9dn")}
	if err := store.Put("config/main", Raw(config)); err != nil {
		return s, err
	}
	for _, k := range workers {
		if err := fleet.AddWorker(k); err != nil {
			return s, err
		}
	}
	for n, zone := range []string{"plata-a", "plata-b", "plata-c"} {
		if _, err := fleet.AddInstance(fmt.Sprintf("front-%s-1", zone), zone, false, addr); err != nil {
			return s, err
		}
		if _, err := fleet.AddInstance(fmt.Sprintf("store-%s-%d", zone, n+1), zone, true, addr); err != nil {
			return s, err
		}
	}
	return s, fleet.AwaitReady(readyTimeout)
}

// Close ends what the scene has started.
func (s *Scene) Close() {
	s.Fleet.Close()
}

// Submit submits a job under a prefix until it is accepted, as callers do after a refusal.
func (s *Scene) Submit(prefix, job string) bool {
	for range submitRetries {
		status := s.Caller.Submit(s.Instances[0], prefix, job, Items(job, prefix, JobItems))
		s.Line("job %s submitted at %s: %d", job, prefix, status)
		if status == statusTaken {
			return true
		}
		time.Sleep(readPause)
	}
	return false
}

// Await reads a job twice a second until all its results are listed or a time has passed, and returns those.
func (s *Scene) Await(job string, until time.Time) []Result {
	var results []Result
	for {
		page, status := s.Caller.Read(s.Instances[0], job, len(results))
		if status == statusOK {
			results = append(results, page.Results...)
		}
		if len(results) >= JobItems || !time.Now().Before(until) {
			s.Line("job %s: %d of %d results listed, last read %d", job, len(results), JobItems, status)
			return results
		}
		time.Sleep(min(readPause, time.Until(until)))
	}
}

// Burst submits jobs as a burst of six times 0.514 jobs a second does in 3 s: each under its prefix, 320 ms apart. It reports
// whether all were accepted.
func (s *Scene) Burst(jobs []BurstJob) bool {
	for _, j := range jobs {
		if !s.Submit(j.Prefix, j.ID) {
			return false
		}
		time.Sleep(burstPause)
	}
	return true
}

// BurstJob is a job of a burst.
type BurstJob struct {
	Prefix, ID string
}

// JudgeUnlisted reads a job, whose submission ended the traffic, until completion is over. The rule is broken if items of it are
// not listed then, though in the last 5 s no worker had an item of it and the workers of its services were under half full, and
// in the last 3 s no item of any job was finished.
func (s *Scene) JudgeUnlisted(job string, workers []*Worker) int {
	end := time.Now().Add(Completion)
	s.Line("traffic ends")
	listed := len(s.Await(job, end))
	now := time.Now()
	had, most, slots := 0, 0, 0
	for _, k := range workers {
		slots += k.Slots
	}
	most = mostAtOnce(workers, now.Add(-Calm), now)
	lastEnd := time.Time{}
	for _, k := range s.Workers {
		for _, r := range k.Runs() {
			isOfJob := strings.HasPrefix(r.Request, job+"-")
			if isOfJob && (r.Ended.IsZero() || now.Sub(r.Ended) < Calm) {
				had++
			}
			if r.IsWhole && r.Ended.After(lastEnd) {
				lastEnd = r.Ended
			}
		}
	}
	s.Line("runs of its items by worker: %v; of them in the last 5 s: %d", s.runsOf(job), had)
	s.Line("its workers have run %d at once at most in the last 5 s, of %d slots; the last item of any job was finished %.2f s ago", most, slots, now.Sub(lastEnd).Seconds())
	switch {
	case listed >= JobItems:
		s.Line("LOST held: all items are listed")
		return Held
	case had > 0, 2*most >= slots, now.Sub(lastEnd) <= recent:
		s.Line("LOST held: excused")
		return Held
	}
	s.Line("LOST broken: %d of %d items of %s are listed neither as completed nor as dead_lettered", JobItems-listed, JobItems, job)
	return Broken
}

// mostAtOnce returns the largest number of runs at some workers at the same time within a span.
func mostAtOnce(workers []*Worker, from, to time.Time) int {
	most := 0
	for at := from; !at.After(to); at = at.Add(sampleStep) {
		count := 0
		for _, k := range workers {
			for _, r := range k.Runs() {
				if !r.Began.After(at) && (r.Ended.IsZero() || r.Ended.After(at)) {
					count++
				}
			}
		}
		most = max(most, count)
	}
	return most
}

// runsOf returns the number of runs of a job's items, by worker.
func (s *Scene) runsOf(job string) map[string]int {
	runs := make(map[string]int)
	for _, k := range s.Workers {
		for _, r := range k.Runs() {
			if strings.HasPrefix(r.Request, job+"-") {
				runs[k.ID]++
			}
		}
	}
	return runs
}
