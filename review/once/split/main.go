// Command main shows whether the items of a batch route that is split between two services are run while the first of these is
// full and the second one idle. It exits with 1 if they aren't, with 0 if they are, and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"

	"fescuebank/review/lab"
)

// config has one batch route, which is split between two services. Its figures are those of celeste-pesca's batch route.
const config = `{"version":7,"routes":[
{"name":"r-manifest","host":"nony24.example","pathPrefix":"/manifest/","kind":"batch","timeoutMs":15000,"targetLatencyMs":400,"priority":2,"trafficSplit":[{"service":"manifest-next","weight":10},{"service":"manifest","weight":90}],"maxAttempts":3,"public":false,"sticky":true,"resumable":true,"targetGapMs":400,"cap":820000,"targetRunMs":18000,"retentionS":60}],
"services":[{"name":"manifest-next","healthPath":"/healthz","maxConnections":370,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacityTokens":147261}},
{"name":"manifest","healthPath":"/healthz","maxConnections":370,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacityTokens":147261}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"kaje80","apiKeys":["i9n73hh2b9wu3fexd9dn"],"priority":1,"ratePerS":35,"burst":35}]}`

const (
	// manifestWorkers is the number of workers of the second service. The first one has one.
	manifestWorkers = 8
	// burstJobs is the number of jobs of a burst.
	burstJobs = 9
	// pace is the time of an event: nine tokens of 2.55 ms.
	pace = 23 * time.Millisecond
)

func main() {
	os.Exit(run())
}

func run() int {
	record, err := lab.NewRecord("review/once/split/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return lab.NotRun
	}
	defer record.Close()
	next := &lab.Worker{ID: "i-next", Service: "manifest-next", Zone: "plata-a", Slots: 8, Events: 184, Pace: pace}
	workers := []*lab.Worker{next}
	for n := range manifestWorkers {
		workers = append(workers, &lab.Worker{
			ID: fmt.Sprintf("i-manifest-%d", n), Service: "manifest", Zone: "plata-b", Slots: 8, Events: 184, Pace: pace,
		})
	}
	s, err := lab.Stage(record, config, workers)
	if s != nil {
		defer s.Close()
	}
	if err != nil {
		record.Line("not run: %v", err)
		return lab.NotRun
	}
	if !s.Submit("/manifest/", "before") || len(s.Await("before", time.Now().Add(lab.Completion))) < lab.JobItems {
		record.Line("not run: the route didn't serve before the disturbance")
		return lab.NotRun
	}
	jobs := 1
	if lab.IsTroubled() {
		jobs = burstJobs
	}
	var burst []lab.BurstJob
	for n := range jobs {
		burst = append(burst, lab.BurstJob{Prefix: "/manifest/", ID: fmt.Sprintf("after%d", n)})
	}
	if !s.Burst(burst) {
		record.Line("not run: a job was not accepted")
		return lab.NotRun
	}
	return s.JudgeUnlisted(burst[jobs-1].ID, workers)
}
