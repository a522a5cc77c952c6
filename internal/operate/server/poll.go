package server

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuebank"
	"fescuebank/internal/fleet/replicator"
)

const (
	// minPollPeriod is the minimum period in which an instance reads each of the
	// configuration and the endpoints once, in addition to the watches.
	minPollPeriod = 6 * time.Second
	// pollPeriodPerInstance is what each instance adds to that period, so that a large
	// fleet as a whole makes a bounded number of reads per second.
	pollPeriodPerInstance = 500 * time.Millisecond
	// evacuationPollPerInstance is the same for the evacuations: they change seldom, and have to
	// be applied within seconds.
	evacuationPollPerInstance = 2 * time.Second
	// firstPollDelay is the time from the start to the first turn. Without gossip from the others,
	// all instances that start together would take the same turn.
	firstPollDelay = 2 * time.Second
)

// pollTurns divides the time into periods in which each live instance has one turn. The
// turns of the instances are equally far apart, so that the time until the next read by
// any of them is bounded, also when the watches of all instances miss a change.
type pollTurns struct {
	// rank is the position of this instance among count live instances.
	rank, count int
	// perInstance is what each instance adds to the period; 0 for pollPeriodPerInstance, with
	// minPollPeriod as the least period.
	perInstance time.Duration
}

// every returns the same turns with another period.
func (t pollTurns) every(perInstance time.Duration) pollTurns {
	t.perInstance = perInstance
	return t
}

func (t pollTurns) period() time.Duration {
	if t.perInstance > 0 {
		return time.Duration(t.count) * t.perInstance
	}
	return max(minPollPeriod, time.Duration(t.count)*pollPeriodPerInstance)
}

// next returns the time until the next turn of this instance, which is longer than zero.
// Instances agree on the turns as far as their clocks do. offset delays all turns.
func (t pollTurns) next(now time.Time, offset time.Duration) time.Duration {
	period := t.period()
	phase := (period*time.Duration(t.rank)/time.Duration(t.count) + offset) % period
	wait := (phase - time.Duration(now.UnixNano())%period + period) % period
	if wait == 0 {
		return period
	}
	return wait
}

// polled is a replica with the time until its next turn.
type polled struct {
	replica *replicator.Replicator
	wait    time.Duration
}

// poll reads the configuration, the endpoints and the evacuations in turn with the other instances, in
// addition to the watches. The watches of all instances may miss the same change; when one
// instance polls it, the others learn of it by gossip.
func (s *Server) poll(ctx context.Context) {
	_ = fescuebank.Sleep(ctx, s.clock, firstPollDelay)
	for ctx.Err() == nil {
		turns := s.pollTurns()
		now := s.clock.Now()
		list := []polled{
			{replica: s.config, wait: turns.next(now, 0)},
			{replica: s.endpoints, wait: turns.next(now, turns.period()/2)},
		}
		if s.settings.Platform.Evacuations {
			wait := turns.every(evacuationPollPerInstance).next(now, turns.period()/4)
			list = append(list, polled{replica: s.evacuations, wait: wait})
		}
		next := slices.MinFunc(list, func(a, b polled) int { return cmp.Compare(a.wait, b.wait) })
		_ = fescuebank.Sleep(ctx, s.clock, next.wait)
		s.pollReplica(ctx, next.replica)
	}
}

func (s *Server) pollReplica(ctx context.Context, replica *replicator.Replicator) {
	if ctx.Err() == nil && replica.Listed() {
		replica.Poll(ctx)
	}
}

// pollTurns returns the turn of this instance among the live ones that reach the store,
// ordered by a hash, so that instances that fail together rarely have turns in a row.
func (s *Server) pollTurns() pollTurns {
	hashes := []uint64{xxhash.Sum64String(string(s.self.ID))}
	for _, p := range s.gossiper.Peers() {
		if p.Alive && !p.Gossip.StoreUnreachable {
			hashes = append(hashes, xxhash.Sum64String(string(p.ID)))
		}
	}
	own := hashes[0]
	slices.Sort(hashes)
	return pollTurns{rank: slices.Index(hashes, own), count: len(hashes)}
}
