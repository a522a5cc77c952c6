package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// openJobsCount is the number of jobs that are open when their route ends.
	openJobsCount = 4
	// removalTime is how long after the end of the route the owner is restarted.
	removalTime = 2 * time.Second
)

// withoutBatchRoute is the next version of batchConfig, with another route in place of the one for batch jobs.
func withoutBatchRoute() string {
	next := strings.Replace(batchConfig, `"version":7`, `"version":11`, 1)
	next = strings.Replace(next, `"pathPrefix":"/lots/"`, `"pathPrefix":"/ask/"`, 1)
	return strings.Replace(next, `"name":"lots"`, `"name":"ask"`, 1)
}

// removedRoute restarts the owner of a team soon after the route of the team's open jobs has ended, and checks that the items that are
// given up are listed.
func removedRoute(r *rig, trouble bool) (broken bool, err error) {
	var runs runLog
	owners, entries, err := r.startDeployment(2, runs.add)
	if err != nil {
		return false, err
	}
	var jobs []teamJob
	for i := range openJobsCount {
		jobs = append(jobs, teamJob{team, jobName(i)})
		status := r.retry(func(try int) int { return submitNamed(entries[(i+try)%len(entries)], team, jobName(i), oddItemsPerJob) })
		r.note("submission of %q of %s: status %d", jobName(i), team, status)
		if status != http.StatusAccepted {
			return false, fmt.Errorf("%s: status %d", jobName(i), status)
		}
		time.Sleep(submitInterval)
	}
	owner := ownerOf(owners, team)
	if owner == nil {
		return false, errors.New("no owner has accepted a job")
	}
	if err := r.put("config/main", withoutBatchRoute()); err != nil {
		return false, err
	}
	r.note("the store has acknowledged a configuration without the route of the jobs")
	time.Sleep(removalTime)
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
