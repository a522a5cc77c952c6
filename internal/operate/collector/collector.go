// Package collector counts what happens to requests on this instance.
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
	shards = 16
	// fineStep and coarseStep are the lengths of the buckets that counts are
	// kept in: fine ones for the shorter windows, coarse ones for the longest.
	fineStep    = time.Minute
	coarseStep  = 30 * time.Minute
	fineCount   = 361
	coarseCount = 145
)

// Collector keeps counts by team, in shards that have their own locks. A lost
// instance's counts are lost with it.
type Collector struct {
	clock     fescuebank.Clock
	objective func() fescuebank.Objectives
	shards    [shards]shard

	answered, failed, limited, refused, retries, items, itemsFailed atomic.Int64
}

type shard struct {
	mu    sync.Mutex
	teams map[fescuebank.TeamID]*history
}

// history is one team's counts over time.
type history struct {
	fine   ring
	coarse ring
}

// ring holds counts in buckets of one step.
type ring struct {
	step    time.Duration
	buckets []bucket
}

type bucket struct {
	// number is the bucket's time in steps since the Unix epoch.
	number int64
	levels fescuebank.ServiceLevels
}

// New returns a collector without counts.
func New(clock fescuebank.Clock, objective func() fescuebank.Objectives) *Collector {
	c := &Collector{clock: clock, objective: objective}
	for i := range c.shards {
		c.shards[i].teams = make(map[fescuebank.TeamID]*history)
	}
	return c
}

func (c *Collector) add(team fescuebank.TeamID, l fescuebank.ServiceLevels) {
	s := &c.shards[xxhash.Sum64String(string(team))%shards]
	now := c.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.teams[team]
	if !ok {
		h = &history{fine: ring{step: fineStep}, coarse: ring{step: coarseStep}}
		s.teams[team] = h
	}
	h.fine.add(now, l, fineCount)
	h.coarse.add(now, l, coarseCount)
}

// add counts into the bucket of now. Buckets are made as they are needed.
func (r *ring) add(now time.Time, l fescuebank.ServiceLevels, most int) {
	number := now.UnixNano() / int64(r.step)
	if n := len(r.buckets); n == 0 || r.buckets[n-1].number < number {
		r.buckets = append(r.buckets, bucket{number: number})
	}
	if len(r.buckets) > most {
		r.buckets = r.buckets[1:]
	}
	r.buckets[len(r.buckets)-1].levels.Add(l)
}

// sum adds up the buckets of the last window.
func (r *ring) sum(now time.Time, window time.Duration) fescuebank.ServiceLevels {
	var total fescuebank.ServiceLevels
	oldest := now.Add(-window).UnixNano() / int64(r.step)
	for i := len(r.buckets) - 1; i >= 0 && r.buckets[i].number > oldest; i-- {
		total.Add(r.buckets[i].levels)
	}
	return total
}

// Levels returns each team's counts over each window.
func (c *Collector) Levels() []fescuebank.TeamServiceLevels {
	now := c.clock.Now()
	var list []fescuebank.TeamServiceLevels
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for team, h := range s.teams {
			levels := fescuebank.TeamServiceLevels{Team: team}
			for _, window := range fescuebank.BurnWindows {
				r := &h.fine
				if window > fineStep*(fineCount-1) {
					r = &h.coarse
				}
				levels.Windows = append(levels.Windows, r.sum(now, window))
			}
			list = append(list, levels)
		}
		s.mu.Unlock()
	}
	return list
}

// Totals returns the counts since the start.
func (c *Collector) Totals() fescuebank.Totals {
	return fescuebank.Totals{
		Answered: c.answered.Load(), Failed: c.failed.Load(), RateLimited: c.limited.Load(), RefusedInRate: c.refused.Load(),
		Retries: c.retries.Load(), BatchCompleted: c.items.Load(), BatchFailed: c.itemsFailed.Load(),
	}
}

// FirstToken counts the time from arrival to the first token.
func (c *Collector) FirstToken(team fescuebank.TeamID, d time.Duration) {
	c.FirstTokenWithin(team, d, c.objective().FirstToken.Duration())
}

// FirstTokenWithin counts the same where the request has an objective of its own.
func (c *Collector) FirstTokenWithin(team fescuebank.TeamID, d, objective time.Duration) {
	c.add(team, fescuebank.ServiceLevels{FirstToken: count(d <= objective)})
}

func count(good bool) fescuebank.Counter {
	if good {
		return fescuebank.Counter{Good: 1, Total: 1}
	}
	return fescuebank.Counter{Total: 1}
}

// Retry counts one more attempt.
func (c *Collector) Retry() {
	c.retries.Add(1)
}

// Answered counts the end of an online request.
func (c *Collector) Answered(team fescuebank.TeamID, err error) {
	if err == nil {
		c.answered.Add(1)
		c.add(team, fescuebank.ServiceLevels{Complete: count(true), Admitted: count(true)})
		return
	}
	var r *fescuebank.Refusal
	if !errors.As(err, &r) {
		return // The caller went away.
	}
	switch {
	case r.Code == fescuebank.CodeRateLimited:
		c.limited.Add(1)
	case r.State == fescuebank.NotRun && r.Status >= 500:
		c.refused.Add(1)
		c.add(team, fescuebank.ServiceLevels{Admitted: count(false)})
	case r.Status >= 500:
		c.failed.Add(1)
		c.add(team, fescuebank.ServiceLevels{Complete: count(false), Admitted: count(true)})
	}
}

// BatchItem counts a committed item.
func (c *Collector) BatchItem(team fescuebank.TeamID, failed, onTime bool) {
	if failed {
		c.itemsFailed.Add(1)
	} else {
		c.items.Add(1)
	}
	c.add(team, fescuebank.ServiceLevels{BatchOnTime: count(onTime)})
}
