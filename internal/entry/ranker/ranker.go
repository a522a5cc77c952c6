// Package ranker decides the order in which requests that wait for a slot get one.
//
// It answers the load of one team at many times its usual rate while slots are short: the
// requests of a team that uses more than its share of the slots, counted over all instances, go
// behind those of the other teams until its use has come down to the share. As the order
// depends on the use and not on the arrival, no team, kind of request or size waits for ever.
package ranker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fescuebank"
)

const (
	// useWindow is the time constant with which the use of slots is forgotten.
	useWindow = 3 * time.Second
	// toleratedDeviations is the number of standard deviations by which a team's use may exceed its
	// share, as requests arrive at random times, and toleratedRequests is added for teams with a
	// share of few requests.
	toleratedDeviations = 2
	toleratedRequests   = 2
	// costSmoothing is the weight of the newest request in the moving average of costs.
	costSmoothing = 0.02
	// maxReportedTeams bounds the teams whose uses an instance reports to the others.
	maxReportedTeams = 6
	// activeInterval is how often the teams that use slots are found out.
	activeInterval = 50 * time.Millisecond
	// minKeptUse is the use below which a team is forgotten.
	minKeptUse = 0.05
)

// Request is what the order of a request depends on.
type Request struct {
	// Team is empty if callers need no key. Such requests have no share.
	Team fescuebank.TeamID
	// Resuming is set for a stream that has begun before.
	Resuming bool
	// Priority is 0 for the most urgent requests.
	Priority int
	// Deadline is the latest time at which a slot may be assigned.
	Deadline time.Time
	// Spent is how long the caller has tried before this attempt, at any instance.
	Spent time.Duration
}

// Ranker knows the shares and the uses of the teams. It takes no lock.
type Ranker struct {
	weights map[fescuebank.TeamTag]float64
	// defaultWeight is that of a team that isn't in weights.
	defaultWeight float64
	uses          map[fescuebank.TeamID]float64
	// totalUse is the sum of uses, and usesAt when both were last updated.
	totalUse float64
	usesAt   time.Time
	meanCost float64
	peers    fescuebank.SlotDemand
	// active are the teams that were known to use slots at activeAt, and activeSum the sum of
	// their weights.
	active    map[fescuebank.TeamTag]bool
	activeSum float64
	activeAt  time.Time
}

// New returns a ranker that knows of no use.
func New() *Ranker {
	return &Ranker{defaultWeight: 1, uses: make(map[fescuebank.TeamID]float64)}
}

// SetRates sets the rates to which the teams are limited, by which their shares are weighted. A team
// without a limit, which has a rate of 0, weighs as much as the average of the others.
func (r *Ranker) SetRates(rates map[fescuebank.TeamID]fescuebank.RequestRate) {
	sum, limited := 0.0, 0
	for _, rate := range rates {
		if rate > 0 {
			sum += float64(rate)
			limited++
		}
	}
	r.defaultWeight, r.active = 1, nil
	if limited > 0 {
		r.defaultWeight = sum / float64(limited)
	}
	r.weights = make(map[fescuebank.TeamTag]float64, len(rates))
	for team, rate := range rates {
		weight := float64(rate)
		if weight <= 0 {
			weight = r.defaultWeight
		}
		r.weights[team.Tag()] = weight
	}
}

// SetPeers sets the demand at the other instances.
func (r *Ranker) SetPeers(demand fescuebank.SlotDemand) {
	r.peers = demand
}

// Record records that a request got a slot here. A cost of 0 stands for an average one.
func (r *Ranker) Record(team fescuebank.TeamID, cost fescuebank.Tokens, now time.Time) {
	r.decay(now)
	use := 1.0
	if cost > 0 {
		if r.meanCost == 0 {
			r.meanCost = float64(cost)
		}
		use = float64(cost) / r.meanCost
		r.meanCost += costSmoothing * (float64(cost) - r.meanCost)
	}
	r.uses[team] += use
	r.totalUse += use
}

// decay forgets uses as time passes.
func (r *Ranker) decay(now time.Time) {
	if r.usesAt.IsZero() {
		r.usesAt = now
	}
	passed := now.Sub(r.usesAt)
	if passed <= 0 {
		return
	}
	r.usesAt = now
	remaining := math.Exp(-passed.Seconds() / useWindow.Seconds())
	r.totalUse = 0
	for team, use := range r.uses {
		use *= remaining
		if use < minKeptUse {
			delete(r.uses, team)
			continue
		}
		r.uses[team] = use
		r.totalUse += use
	}
}

// Share is a team's share of the slots, and what it uses of them, in requests of average cost that
// recently got a slot at any instance.
type Share struct {
	Use   float64
	Share float64
}

// tolerated returns the use up to which the share isn't exceeded: what the arrival of requests at
// random explains.
func (s Share) tolerated() float64 {
	return s.Share + toleratedDeviations*math.Sqrt(s.Share) + toleratedRequests
}

// IsExceeded reports whether the use is above the share.
func (s Share) IsExceeded() bool {
	return s.Use > s.tolerated()
}

// Share returns the share of a team, beside the others that use slots, and its use.
func (r *Ranker) Share(team fescuebank.TeamID, now time.Time) Share {
	r.decay(now)
	total := r.totalUse + float64(r.peers.Use)
	tag := team.Tag()
	if team == "" {
		return Share{Share: total}
	}
	return Share{
		Use:   r.uses[team] + float64(r.peers.Teams[tag]),
		Share: total * r.weight(tag) / r.activeWeight(tag, now),
	}
}

// activeWeight returns the sum of the weights of a team and of the others that are known to use slots,
// so that the share of those that use none belongs to the others.
func (r *Ranker) activeWeight(tag fescuebank.TeamTag, now time.Time) float64 {
	if r.active == nil || now.Sub(r.activeAt) >= activeInterval {
		r.findActive(now)
	}
	if r.active[tag] {
		return r.activeSum
	}
	return r.activeSum + r.weight(tag)
}

// findActive finds the teams that are known to use slots.
func (r *Ranker) findActive(now time.Time) {
	r.active, r.activeSum, r.activeAt = make(map[fescuebank.TeamTag]bool), 0, now
	add := func(tag fescuebank.TeamTag) {
		if !r.active[tag] {
			r.active[tag] = true
			r.activeSum += r.weight(tag)
		}
	}
	for tag := range r.peers.Teams {
		add(tag)
	}
	for team := range r.uses {
		if team != "" {
			add(team.Tag())
		}
	}
}

func (r *Ranker) weight(team fescuebank.TeamTag) float64 {
	if weight, ok := r.weights[team]; ok {
		return weight
	}
	return r.defaultWeight
}

// Report returns the use at this instance that others should know of.
func (r *Ranker) Report(now time.Time) fescuebank.SlotDemand {
	r.decay(now)
	demand := fescuebank.SlotDemand{Use: int(math.Round(r.totalUse)), Teams: make(map[fescuebank.TeamTag]int)}
	teams := make([]fescuebank.TeamID, 0, len(r.uses))
	for team, use := range r.uses {
		if team != "" && use >= 0.5 {
			teams = append(teams, team)
		}
	}
	slices.SortFunc(teams, func(a, b fescuebank.TeamID) int {
		return cmp.Or(cmp.Compare(r.uses[b]/r.weight(b.Tag()), r.uses[a]/r.weight(a.Tag())), cmp.Compare(a, b))
	})
	for _, team := range teams[:min(len(teams), maxReportedTeams)] {
		demand.Teams[team.Tag()] += int(math.Round(r.uses[team]))
	}
	return demand
}

// IsBehind reports whether a request goes behind those of teams within their share.
func (r *Ranker) IsBehind(request Request, now time.Time) bool {
	return !request.Resuming && r.Share(request.Team, now).IsExceeded()
}

// TimeBehind estimates how long a request goes behind the others if its team gets no slot meanwhile.
func (r *Ranker) TimeBehind(request Request, now time.Time) time.Duration {
	share := r.Share(request.Team, now)
	if request.Resuming || !share.IsExceeded() {
		return 0
	}
	return time.Duration(float64(useWindow) * math.Log(share.Use/share.tolerated()))
}

// Compare orders two requests: streams that have begun first, then teams within their share, then by
// priority, then by the time left, counted from the first attempts of the callers.
func (r *Ranker) Compare(a, b Request, now time.Time) int {
	return cmp.Or(
		compareFlags(b.Resuming, a.Resuming),
		compareFlags(r.IsBehind(a, now), r.IsBehind(b, now)),
		cmp.Compare(a.Priority, b.Priority),
		a.due().Compare(b.due()),
	)
}

// due returns the deadline, earlier by what the caller has spent on earlier attempts.
func (q Request) due() time.Time {
	return q.Deadline.Add(-q.Spent)
}

// compareFlags orders false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
