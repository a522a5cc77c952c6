package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

const (
	// oddJob is a job id that is the value of a header as it stands, and has to be escaped in a path.
	oddJob = "anticipo-50%"
	// oddItemsPerJob is the number of items of each job.
	oddItemsPerJob = 10
	// plainJobsCount is the number of the team's other jobs.
	plainJobsCount = 3
	// downTime is how long the restarted instance is down.
	downTime = 500 * time.Millisecond
	// recoverTime is the bound recoverS, and completionTime the bound completionS of the pages.
	recoverTime    = 12 * time.Second
	completionTime = 18 * time.Second
	// calmTime is how long no endpoint may have had an item before a missing result counts.
	calmTime = 5 * time.Second
)

// teamJob is a job of a team.
type teamJob struct {
	team, id string
}

// oddID restarts the owner of a team that has a job whose id has to be escaped in a path, and checks that the team's accepted
// jobs are completed.
func oddID(r *rig, trouble bool) (broken bool, err error) {
	var runs runLog
	owners, entries, err := r.startDeployment(3, runs.add)
	if err != nil {
		return false, err
	}
	jobs := []teamJob{{team, oddJob}}
	for i := range plainJobsCount {
		jobs = append(jobs, teamJob{team, jobName(i)})
	}
	for _, other := range []string{"puerto", "rocha", "valizas", "punta"} {
		jobs = append(jobs, teamJob{other, "job-of-" + other})
	}
	for i, j := range jobs {
		status := r.retry(func(try int) int { return submitNamed(entries[(i+try)%len(entries)], j.team, j.id, oddItemsPerJob) })
		r.note("submission of %q of %s: status %d", j.id, j.team, status)
		if status != http.StatusAccepted {
			return false, fmt.Errorf("%s: status %d", j.id, status)
		}
		time.Sleep(submitInterval)
	}
	owner := ownerOf(owners, team)
	if owner == nil {
		return false, errors.New("no owner has accepted a job")
	}
	if trouble {
		r.note("SIGTERM to %s, the owner of the team", owner.id)
		owner.stop()
		r.note("%s has ended", owner.id)
		time.Sleep(downTime)
		if err := r.restart(owner); err != nil {
			return false, err
		}
		r.note("%s starts again", owner.id)
	}
	began := time.Now()
	for time.Since(began) < recoverTime+completionTime+calmTime {
		if missing, unread := r.countMissing(entries, jobs, false); missing+unread == 0 {
			break
		}
		time.Sleep(500 * time.Millisecond) // Callers read about twice per second.
	}
	missing, _ := r.countMissing(entries, jobs, true)
	last := runs.last()
	r.note("%d items are not listed by reads answered 200; the last item reached an endpoint %.1f s ago", missing, time.Since(last).Seconds())
	return missing > 0 && time.Since(last) > itemTime+calmTime, nil
}

// countMissing reads all jobs and returns the number of items that aren't listed. A read that isn't answered 200 says nothing of
// its job's items; unread counts these.
func (r *rig) countMissing(entries []*instance, jobs []teamJob, last bool) (missing, unread int) {
	for i, j := range jobs {
		total, results, status := readJob(entries[i%len(entries)], j)
		if status != http.StatusOK {
			total, results = 0, 0
			unread++
		}
		missing += total - results
		if last {
			r.note("read of %q of %s: status %d, %d of %d results", j.id, j.team, status, results, total)
		}
	}
	if last {
		r.note("submission of a further job: status %d", submitNamed(entries[0], team, "job-after", 1))
	}
	return missing, unread
}

// readJob reads the results of a job to their end.
func readJob(n *instance, j teamJob) (total, results, status int) {
	for {
		q, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/api/lots/%s?after=%d", n.callers, url.PathEscape(j.id), results), nil)
		if err != nil {
			return total, results, 0
		}
		q.Host = host
		q.Header.Set("Authorization", "Bearer "+keyOf(j.team))
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 8 * time.Second}
		resp, err := client.Do(q)
		if err != nil {
			return total, results, 0
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		var page struct {
			Total   int               `json:"total"`
			Results []json.RawMessage `json:"results"`
		}
		if resp.StatusCode != http.StatusOK || json.Unmarshal(body, &page) != nil {
			return total, results, resp.StatusCode
		}
		total, results = page.Total, results+len(page.Results)
		if len(page.Results) == 0 || results >= total {
			return total, results, resp.StatusCode
		}
	}
}

// last returns when the last item reached an endpoint.
func (l *runLog) last() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs) == 0 {
		return time.Time{}
	}
	return l.runs[len(l.runs)-1].at
}
