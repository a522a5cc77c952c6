// Package collector counts the outcomes of this instance's requests, in total and per team
// over the windows from which burn rates are computed.
package collector

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuebank"
)

const (
	// shardCount is the number of locks that the teams are spread over.
	shardCount = 16
	// fineInterval and coarseInterval are the lengths of the buckets of counts: fine
	// buckets serve the windows of up to 6 hours, coarse ones that of 3 days.
	// maxFineBuckets and maxCoarseBuckets are the numbers of buckets retained: those of
	// the window and the current one.
	fineInterval     = time.Minute
	coarseInterval   = 30 * time.Minute
	maxFineBuckets   = 361
	maxCoarseBuckets = 145
)

// Collector holds counts by team, in shards with a lock each. The counts are in memory
// only, and are lost when the instance stops.
type Collector struct {
	clock      fescuebank.Clock
	objectives func() fescuebank.Objectives
	shards     [shardCount]shard

	completed, failed, rateLimited, refusedInRate, retries, batchCompleted, batchFailed atomic.Int64
}

type shard struct {
	mu    sync.Mutex
	teams map[fescuebank.TeamID]*history
}

// history holds one team's counts over time.
type history struct {
	fine   series
	coarse series
}

// series holds counts in consecutive buckets of one interval.
type series struct {
	interval time.Duration
	buckets  []bucket
}

type bucket struct {
	// number is the start of the bucket in intervals since the Unix epoch.
	number int64
	levels fescuebank.ServiceLevels
}

// New returns a collector without counts.
func New(clock fescuebank.Clock, objectives func() fescuebank.Objectives) *Collector {
	c := &Collector{clock: clock, objectives: objectives}
	for i := range c.shards {
		c.shards[i].teams = make(map[fescuebank.TeamID]*history)
	}
	return c
}

func (c *Collector) add(team fescuebank.TeamID, l fescuebank.ServiceLevels) {
	s := &c.shards[xxhash.Sum64String(string(team))%shardCount]
	now := c.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.teams[team]
	if !ok {
		h = &history{fine: series{interval: fineInterval}, coarse: series{interval: coarseInterval}}
		s.teams[team] = h
	}
	h.fine.add(now, l, maxFineBuckets)
	h.coarse.add(now, l, maxCoarseBuckets)
}

// add adds counts to the bucket of now, which it creates if needed. It drops the oldest
// bucket if there are more than maxBuckets.
func (s *series) add(now time.Time, l fescuebank.ServiceLevels, maxBuckets int) {
	number := now.UnixNano() / int64(s.interval)
	if n := len(s.buckets); n == 0 || s.buckets[n-1].number < number {
		s.buckets = append(s.buckets, bucket{number: number})
	}
	if len(s.buckets) > maxBuckets {
		s.buckets = s.buckets[1:]
	}
	s.buckets[len(s.buckets)-1].levels.Add(l)
}

// sum returns the sum of the buckets within the window that ends now.
func (s *series) sum(now time.Time, window time.Duration) fescuebank.ServiceLevels {
	var total fescuebank.ServiceLevels
	oldest := now.Add(-window).UnixNano() / int64(s.interval)
	for i := len(s.buckets) - 1; i >= 0 && s.buckets[i].number > oldest; i-- {
		total.Add(s.buckets[i].levels)
	}
	return total
}

// Levels returns each team's counts over all windows.
func (c *Collector) Levels() []fescuebank.TeamServiceLevels {
	now := c.clock.Now()
	var list []fescuebank.TeamServiceLevels
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for team, h := range s.teams {
			levels := fescuebank.TeamServiceLevels{Team: team}
			for _, window := range fescuebank.BurnWindows {
				counts := &h.fine
				if window > fineInterval*(maxFineBuckets-1) {
					counts = &h.coarse
				}
				levels.Windows = append(levels.Windows, counts.sum(now, window))
			}
			list = append(list, levels)
		}
		s.mu.Unlock()
	}
	return list
}

// Totals returns the counts since this instance started.
func (c *Collector) Totals() fescuebank.Totals {
	return fescuebank.Totals{
		Completed: c.completed.Load(), Failed: c.failed.Load(), RateLimited: c.rateLimited.Load(), RefusedInRate: c.refusedInRate.Load(),
		Retries: c.retries.Load(), BatchCompleted: c.batchCompleted.Load(), BatchFailed: c.batchFailed.Load(),
	}
}

// FirstToken counts a time from arrival to the first token against the configured
// objective.
func (c *Collector) FirstToken(team fescuebank.TeamID, d time.Duration) {
	c.FirstTokenWithin(team, d, c.objectives().FirstToken.Duration())
}

// FirstTokenWithin is like FirstToken for a request with its own objective.
func (c *Collector) FirstTokenWithin(team fescuebank.TeamID, d, objective time.Duration) {
	c.add(team, fescuebank.ServiceLevels{FirstToken: counterOf(d <= objective)})
}

// counterOf returns the counter of one event.
func counterOf(good bool) fescuebank.Counter {
	if good {
		return fescuebank.Counter{Good: 1, Total: 1}
	}
	return fescuebank.Counter{Total: 1}
}

// Retry counts a retry.
func (c *Collector) Retry() {
	c.retries.Add(1)
}

// RequestEnded counts the end of an online request by its error, which is nil if the
// request succeeded. It ignores requests whose caller disconnected, and refusals with a
// status below 500 other than those by a rate limit.
func (c *Collector) RequestEnded(team fescuebank.TeamID, err error) {
	if err == nil {
		c.completed.Add(1)
		c.add(team, fescuebank.ServiceLevels{Complete: counterOf(true), Admitted: counterOf(true)})
		return
	}
	var r *fescuebank.Refusal
	if !errors.As(err, &r) {
		return // The caller disconnected.
	}
	switch {
	case r.Code == fescuebank.CodeRateLimited:
		c.rateLimited.Add(1)
	case r.State == fescuebank.NotRun && r.Status >= 500:
		c.refusedInRate.Add(1)
		c.add(team, fescuebank.ServiceLevels{Admitted: counterOf(false)})
	case r.Status >= 500:
		c.failed.Add(1)
		c.add(team, fescuebank.ServiceLevels{Complete: counterOf(false), Admitted: counterOf(true)})
	}
}

// BatchItem counts a committed batch item.
func (c *Collector) BatchItem(team fescuebank.TeamID, failed, onTime bool) {
	if failed {
		c.batchFailed.Add(1)
	} else {
		c.batchCompleted.Add(1)
	}
	c.add(team, fescuebank.ServiceLevels{BatchOnTime: counterOf(onTime)})
}
