package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// burstJobsCount is the number of jobs that the team submits, and itemsPerJob the items of each. It ends the last
	// endedJobsCount of them.
	burstJobsCount = 60
	endedJobsCount = 60
	itemsPerJob    = 10
	// cancelTime is the bound cancelMs of the pages.
	cancelTime = 3 * time.Second
	// stopDelay is how long after the team begins to end its jobs the owner gets SIGTERM.
	stopDelay = 40 * time.Millisecond
	// watchTime is how long items are watched for after the last end.
	watchTime = 20 * time.Second
	// team is the team whose jobs the disruption concerns.
	team = "casa"
)

const batchConfig = `{"version":7,"routes":[{"name":"lots","host":"` + host + `","pathPrefix":"/lots/","kind":"batch","timeoutMs":15000,
"targetLatencyMs":400,"service":"` + service + `","maxAttempts":3,"cap":820000,"targetRunMs":18000,"retentionS":60}],
"services":[{"name":"` + service + `"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"` + team + `","apiKeys":["key-of-` + team + `"]},{"name":"puerto","apiKeys":["key-of-puerto"]},{"name":"rocha","apiKeys":["key-of-rocha"]},
{"name":"valizas","apiKeys":["key-of-valizas"]},{"name":"punta","apiKeys":["key-of-punta"]}]}`

// run is one run of an item at an endpoint.
type itemRun struct {
	item string
	at   time.Time
}

// runLog records the runs of items.
type runLog struct {
	mu   sync.Mutex
	runs []itemRun
}

func (l *runLog) add(item string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, itemRun{item: item, at: time.Now()})
}

// endedJobs ends all jobs of a team while the owner of the team is removed, and checks that the items of jobs whose
// end was acknowledged don't run any more.
func endedJobs(r *rig, trouble bool) (broken bool, err error) {
	var runs runLog
	owners, entries, err := r.startDeployment(3, runs.add)
	if err != nil {
		return false, err
	}
	if err := r.submitJobs(entries); err != nil {
		return false, err
	}
	owner := ownerOf(owners, team)
	if owner == nil {
		return false, errors.New("no owner has accepted a job")
	}
	r.note("the owner of the team is %s", owner.id)
	var group sync.WaitGroup
	if trouble {
		group.Go(func() {
			time.Sleep(stopDelay)
			r.note("SIGTERM to %s, which is removed", owner.id)
			owner.stop()
			r.note("%s has ended", owner.id)
		})
	}
	acked := r.endAll(entries)
	group.Wait()
	stable := time.Now().Add(contactTime)
	if len(acked) < endedJobsCount {
		return false, fmt.Errorf("%d of %d ends acknowledged", len(acked), endedJobsCount)
	}
	time.Sleep(watchTime)
	return r.judgeEnded(&runs, acked, stable), nil
}

// judgeEnded reports whether an item ran later than cancelTime after the end of its job was acknowledged and
// contactTime after the last disruption.
func (r *rig) judgeEnded(runs *runLog, acked map[string]time.Time, stable time.Time) bool {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	late, jobs := 0, make(map[string]bool)
	for _, run := range runs.runs {
		job := run.item[:len("job-000")]
		ackedAt, isEnded := acked[job]
		if isEnded && run.at.After(ackedAt.Add(cancelTime)) && run.at.After(stable) {
			late++
			jobs[job] = true
			r.note("item %s reached an endpoint at %.3f, %.3f s after the end of %s was acknowledged", run.item, run.at.Sub(r.began).Seconds(), run.at.Sub(ackedAt).Seconds(), job)
		}
	}
	r.note("%d runs in all; %d runs of items of %d ended jobs later than %v after the acknowledgement and %v after the last disruption",
		len(runs.runs), late, len(jobs), cancelTime, contactTime)
	return late > 0
}

func jobName(i int) string {
	return fmt.Sprintf("job-%03d", i)
}

// submitJobs submits all jobs at the rate of a burst, for far longer than one.
func (r *rig) submitJobs(entries []*instance) error {
	for i := range burstJobsCount {
		if status := r.retry(func(try int) int { return submitJob(entries[(i+try)%len(entries)], i) }); status != http.StatusAccepted {
			return fmt.Errorf("not accepted: %s: status %d", jobName(i), status)
		}
		time.Sleep(submitInterval)
	}
	r.note("%d jobs of %d items submitted and accepted with 202", burstJobsCount, itemsPerJob)
	return nil
}

func submitJob(n *instance, i int) int {
	return submitNamed(n, team, jobName(i), itemsPerJob)
}

// submitNamed submits a job with an id, and returns the status.
func submitNamed(n *instance, team, id string, count int) int {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    []byte            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var items []item
	for k := range count {
		items = append(items, item{
			ID: fmt.Sprintf("%s-%02d", id, k), Path: "/lots/item", Body: []byte("write a notice"), Tokens: 1200,
			Headers: map[string]string{"X-Fescuebank-Model": "m", "X-Fescuebank-Token-Usage": "350,850", "X-Fescuebank-Prompt-Prefix": fmt.Sprintf("aa:100,%x%02d:250", id, k)},
		})
	}
	return call(n, team, http.MethodPost, "/lots/submit", id, jsonText(map[string]any{"items": items}))
}

// keyOf returns the key of a team.
func keyOf(team string) string {
	return "key-of-" + team
}

// call makes one call of a team on a new connection and returns its status, 0 if there was no answer.
func call(n *instance, team, method, path, id, body string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	q, err := http.NewRequest(method, "http://"+n.callers+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	q.Host = host
	q.Header.Set("Authorization", "Bearer "+keyOf(team))
	if id != "" {
		q.Header.Set("X-Fescuebank-Request-Id", id)
	}
	resp, err := client.Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// retry makes a call up to five times until it succeeds, and returns the last status.
func (r *rig) retry(attempt func(try int) int) int {
	status := 0
	for try := range 5 {
		status = attempt(try)
		if status/100 == 2 {
			return status
		}
		r.note("status %d; the caller tries again", status)
		time.Sleep(300 * time.Millisecond)
	}
	return status
}

// endAll ends the last jobs at the same time, and returns when each end was acknowledged.
func (r *rig) endAll(entries []*instance) map[string]time.Time {
	var mu sync.Mutex
	acked := make(map[string]time.Time)
	var group sync.WaitGroup
	for i := burstJobsCount - endedJobsCount; i < burstJobsCount; i++ {
		group.Go(func() {
			status := r.retry(func(try int) int {
				return call(entries[(i+try)%len(entries)], team, http.MethodDelete, "/api/lots/"+jobName(i), "", "")
			})
			r.note("DELETE of %s: status %d", jobName(i), status)
			if status == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				acked[jobName(i)] = time.Now()
			}
		})
	}
	group.Wait()
	return acked
}

// ownerOf returns the instance that has accepted a job of a team.
func ownerOf(owners []*instance, team string) *instance {
	for _, n := range owners {
		if n.logs("Job accepted.", `"team":"`+team+`"`) {
			return n
		}
	}
	return nil
}
