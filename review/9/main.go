// Command main shows whether batch jobs of one service are run while those of another one wait for its worker. It exits with 1 if
// they aren't, with 0 if they are, and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"

	"fescuebank/review/lab"
)

// config has two batch routes, each with a service of its own. Their figures are those of celeste-pesca's batch route.
const config = `{"version":7,"routes":[
{"name":"r-weather","host":"nony24.example","pathPrefix":"/weather/","kind":"batch","timeoutMs":15000,"targetLatencyMs":400,"priority":2,"service":"weather","maxAttempts":3,"public":false,"sticky":true,"resumable":true,"targetGapMs":400,"cap":820000,"targetRunMs":18000,"retentionS":60},
{"name":"r-manifest","host":"nony24.example","pathPrefix":"/manifest/","kind":"batch","timeoutMs":15000,"targetLatencyMs":400,"priority":2,"service":"manifest","maxAttempts":3,"public":false,"sticky":true,"resumable":true,"targetGapMs":400,"cap":820000,"targetRunMs":18000,"retentionS":60}],
"services":[{"name":"weather","healthPath":"/healthz","maxConnections":370,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacityTokens":147261}},
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
	record, err := lab.NewRecord("review/9/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return lab.NotRun
	}
	defer record.Close()
	weather := &lab.Worker{ID: "i-weather", Service: "weather", Zone: "plata-a", Slots: 8, Events: 184, Pace: pace}
	workers := []*lab.Worker{weather}
	for n := range manifestWorkers {
		workers = append(workers, &lab.Worker{
			ID: fmt.Sprintf("i-manifest-%d", n), Service: "manifest", Zone: "plata-b", Slots: 8, Events: 250, Pace: pace,
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
	for _, job := range []string{"weather", "manifest"} {
		if !s.Submit("/"+job+"/", job+"-before") || len(s.Await(job+"-before", time.Now().Add(lab.Completion))) < lab.JobItems {
			record.Line("not run: a service didn't serve before the disturbance")
			return lab.NotRun
		}
	}
	jobs := []lab.BurstJob{{Prefix: "/weather/", ID: "weather-0"}, {Prefix: "/manifest/", ID: "manifest-after"}}
	if lab.IsTroubled() {
		jobs = nil
		for n := range burstJobs - 1 {
			jobs = append(jobs, lab.BurstJob{Prefix: "/weather/", ID: fmt.Sprintf("weather-%d", n)})
		}
		jobs = append(jobs, lab.BurstJob{Prefix: "/manifest/", ID: "manifest-after"})
	}
	if !s.Burst(jobs) {
		record.Line("not run: a job was not accepted")
		return lab.NotRun
	}
	return s.JudgeUnlisted("manifest-after", workers[1:])
}
