// Command main shows whether items of ended jobs run after a store machine was added while the store was slow. It exits with
// 1 if they do, with 0 if they don't, and with 2 if the case couldn't run.
package main

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"fescuebank"
	"fescuebank/review/lab"
)

const (
	// burstJobs jobs come burstPause apart: a burst of six times 0.514 jobs a second for 3 s.
	burstJobs  = 9
	burstPause = 320 * time.Millisecond
	// usualJobs jobs come before it, usualPause apart: 0.514 jobs a second.
	usualJobs  = 6
	usualPause = 1950 * time.Millisecond
	// endedJobs is how many jobs, the last ones, the tenant ends.
	endedJobs = 3
	// slowDelay is the time of an answer of the slow store: 60 times the usual one. slowTime is how long it is slow.
	slowDelay = 240 * time.Millisecond
	slowTime  = 4500 * time.Millisecond
	// cancelTime and contactTime are cancelMs and contactMs.
	cancelTime  = 3 * time.Second
	contactTime = 3 * time.Second
	watchTime   = 16 * time.Second
	// endDelay is how long after the added machine has joined the owners the tenant ends its jobs.
	endDelay = 150 * time.Millisecond
	// added is the store machine that is added.
	added = "store-plata-a-4"
)

// config is the batch route of celeste-pesca, with one tenant.
const config = `{"version":7,"routes":[
{"name":"r-manifest","host":"nony24.example","pathPrefix":"/manifest/","kind":"batch","timeoutMs":15000,"targetLatencyMs":400,"priority":2,"service":"manifest","maxAttempts":3,"public":false,"sticky":true,"resumable":true,"targetGapMs":400,"cap":820000,"targetRunMs":18000,"retentionS":60}],
"services":[{"name":"manifest","healthPath":"/healthz","maxConnections":370,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacityTokens":147261}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"%s","apiKeys":["i9n73hh2b9wu3fexd9dn"],"priority":1,"ratePerS":35,"burst":35}]}`

func main() {
	os.Exit(run())
}

// movingTenant returns the name of a tenant that the added store machine owns once it has joined.
func movingTenant() string {
	list := fescuebank.OwnerList{}
	for _, id := range []string{"store-plata-a-1", "store-plata-b-2", "store-plata-c-3", added} {
		list.Owners = append(list.Owners, fescuebank.Holder{ID: fescuebank.InstanceID(id)})
	}
	for n := 0; ; n++ {
		name := fmt.Sprintf("kaje%d", n)
		if owner, _ := list.Owner(fescuebank.TeamID(name)); owner.ID == added {
			return name
		}
	}
}

func run() int {
	record, err := lab.NewRecord("review/once/ends/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return lab.NotRun
	}
	defer record.Close()
	var workers []*lab.Worker
	for n := range 4 {
		workers = append(workers, &lab.Worker{
			ID: fmt.Sprintf("i-manifest-%d", n), Service: "manifest", Zone: "plata-b", Slots: 8, Events: 204, Pace: 23 * time.Millisecond,
		})
	}
	s, err := lab.Stage(record, fmt.Sprintf(config, movingTenant()), workers)
	if s != nil {
		defer s.Close()
	}
	if err != nil {
		record.Line("not run: %v", err)
		return lab.NotRun
	}
	joined := make(chan struct{})
	var once sync.Once
	s.Store.OnWrite = func(key string, spec []byte) {
		if key == "owners/list" && bytes.Contains(spec, []byte(added)) {
			once.Do(func() { close(joined) })
		}
	}
	if !s.Submit("/manifest/", "first") || len(s.Await("first", time.Now().Add(lab.Completion))) < lab.JobItems {
		record.Line("not run: the route didn't serve")
		return lab.NotRun
	}
	for n := range usualJobs {
		if !s.Submit("/manifest/", fmt.Sprintf("usual%d", n)) {
			record.Line("not run: a job was not accepted")
			return lab.NotRun
		}
		time.Sleep(usualPause)
	}
	for n := range burstJobs {
		if !s.Submit("/manifest/", fmt.Sprintf("job%d", n)) {
			record.Line("not run: a job was not accepted")
			return lab.NotRun
		}
		time.Sleep(burstPause)
	}
	stable := time.Now()
	if lab.IsTroubled() {
		s.Store.SetDelay(slowDelay)
		s.Line("the store is slow")
		time.AfterFunc(slowTime, func() {
			s.Store.SetDelay(lab.StoreDelay)
			s.Line("the store is as before")
		})
		stable = time.Now().Add(slowTime)
		if _, err := s.AddInstance(added, "plata-a", true, s.Addr); err != nil {
			record.Line("not run: %v", err)
			return lab.NotRun
		}
		select {
		case <-joined:
			s.Line("%s joins the owners", added)
			time.Sleep(endDelay)
		case <-time.After(slowTime):
			record.Line("not run: the store machine didn't join in time")
			return lab.NotRun
		}
	}
	return judge(s, endAll(s), stable.Add(contactTime))
}

// endAll ends the last jobs at the same time and returns when each end was acknowledged.
func endAll(s *lab.Scene) map[string]time.Time {
	var mu sync.Mutex
	acked := make(map[string]time.Time)
	var group sync.WaitGroup
	for n := burstJobs - endedJobs; n < burstJobs; n++ {
		group.Go(func() {
			job := fmt.Sprintf("job%d", n)
			for range 10 {
				sent := time.Now()
				status := s.Caller.End(s.Instances[0], job)
				s.Line("end of %s: %d after %d ms", job, status, time.Since(sent).Milliseconds())
				if status == 200 {
					mu.Lock()
					acked[job] = time.Now()
					mu.Unlock()
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return acked
}

// judge watches the workers and checks that no item of an ended job reaches one later than cancelTime after the
// acknowledgement, from machines in touch.
func judge(s *lab.Scene, acked map[string]time.Time, inTouch time.Time) int {
	if len(acked) < endedJobs {
		s.Line("not run: %d ends acknowledged", len(acked))
		return lab.NotRun
	}
	time.Sleep(watchTime)
	late := 0
	for _, k := range s.Workers {
		for _, r := range k.Runs() {
			job, _, _ := strings.Cut(r.Request, "-")
			at, isEnded := acked[job]
			if isEnded && r.Began.After(at.Add(cancelTime)) && r.Began.After(inTouch) {
				late++
				s.Line("item %s reached %s %.1f s after the end of its job was acknowledged, %.1f s after all were in touch", r.Request, k.ID, r.Began.Sub(at).Seconds(), r.Began.Sub(inTouch).Seconds())
			}
		}
	}
	if late > 0 {
		s.Line("UNASKED broken: %d runs", late)
		return lab.Broken
	}
	s.Line("held")
	return lab.Held
}
