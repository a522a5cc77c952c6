package coordinator

import (
	"cmp"
	"context"
	"slices"

	"fescuebank"
)

// Pull hands out items: the team furthest behind its share first, then the
// job due first.
func (k *Coordinator) Pull(r *fescuebank.PullRequest) fescuebank.PullReply {
	reply := fescuebank.PullReply{Expiry: k.expiry}
	limit := min(max(0, r.Limit), maxPull)
	now := k.clock.Now()
	for len(reply.Items) < limit {
		e := k.choose(r.Models)
		if e == nil {
			break
		}
		e.mu.Lock()
		items := e.ledger.Take(now, r.From, r.Models, 1, k.expiry)
		e.mu.Unlock()
		if len(items) == 0 {
			break
		}
		k.charge(e.job.Team, costOf(items[0]))
		reply.Items = append(reply.Items, items...)
	}
	reply.Weight = k.waitingWeight(r.Models)
	return reply
}

// costOf estimates the work of an item by the length of its line; the answer's
// length is not known yet.
func costOf(item fescuebank.PulledItem) float64 {
	const charsPerToken = 4
	return 1 + float64(len(item.Line))/charsPerToken
}

// candidate is an owned job with pending items.
type candidate struct {
	entry  *entry
	served float64
}

// choose returns the job to take the next item from.
func (k *Coordinator) choose(models []fescuebank.ModelName) *entry {
	var best candidate
	for _, c := range k.candidates(models) {
		if best.entry == nil || c.before(best) {
			best = c
		}
	}
	return best.entry
}

func (c candidate) before(other candidate) bool {
	if c.entry.job.Team != other.entry.job.Team {
		return cmp.Or(cmp.Compare(c.served, other.served), cmp.Compare(c.entry.job.Team, other.entry.job.Team)) < 0
	}
	return cmp.Or(c.entry.job.Due.Compare(other.entry.job.Due), cmp.Compare(c.entry.job.ID, other.entry.job.ID)) < 0
}

func (k *Coordinator) candidates(models []fescuebank.ModelName) []candidate {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []candidate
	for id, e := range k.jobs {
		if !k.active[id].Cancel && e.hasPending(models) && k.mayHandOut(e) {
			list = append(list, candidate{entry: e, served: k.served[e.job.Team]})
		}
	}
	return list
}

func (k *Coordinator) mayHandOut(e *entry) bool {
	shard, _ := e.job.ID.Shard()
	return k.actsBy(shard, e.fencing)
}

func (e *entry) hasPending(models []fescuebank.ModelName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.broken {
		return false
	}
	return slices.ContainsFunc(e.ledger.PendingModels(), func(m fescuebank.ModelName) bool { return slices.Contains(models, m) })
}

// charge accounts for work given to a team. A team that comes back after a
// pause starts level with the one furthest behind, not with a claim on the past.
func (k *Coordinator) charge(team fescuebank.TeamID, cost float64) {
	weight := 1.0
	if t, ok := k.config.Current().Teams[team]; ok {
		weight = t.Weight
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.served[team] = max(k.served[team], k.floor(team)) + cost/weight
}

// floor is the least that any other team with jobs here was served. The caller
// holds mu.
func (k *Coordinator) floor(team fescuebank.TeamID) float64 {
	least, found := 0.0, false
	for _, e := range k.jobs {
		if e.job.Team == team {
			continue
		}
		if s := k.served[e.job.Team]; !found || s < least {
			least, found = s, true
		}
	}
	return least
}

func (k *Coordinator) waitingWeight(models []fescuebank.ModelName) float64 {
	teams := make(map[fescuebank.TeamID]bool)
	total := 0.0
	for _, c := range k.candidates(models) {
		team := c.entry.job.Team
		if teams[team] {
			continue
		}
		teams[team] = true
		if t, ok := k.config.Current().Teams[team]; ok {
			total += t.Weight
		}
	}
	return total
}

// HandlePull answers a PullRequest of another instance.
func (k *Coordinator) HandlePull(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.PullRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	reply := k.Pull(&request)
	return &reply, nil
}

// Report takes in what a puller says of items and names those it should stop.
func (k *Coordinator) Report(r *fescuebank.ReportRequest) fescuebank.ReportReply {
	var reply fescuebank.ReportReply
	for _, report := range r.Reports {
		if !k.report(r.From, report) {
			reply.Stop = append(reply.Stop, report.Ref)
		}
	}
	return reply
}

func (k *Coordinator) report(from fescuebank.InstanceID, r fescuebank.ItemReport) bool {
	k.mu.Lock()
	e, ok := k.jobs[r.Ref.Job]
	cancelled := k.active[r.Ref.Job].Cancel
	k.mu.Unlock()
	if !ok || cancelled {
		return false
	}
	k.charge(e.job.Team, float64(r.Used))
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.broken && e.ledger.Report(k.clock.Now(), from, r, k.expiry)
}

// HandleReport answers a ReportRequest of another instance.
func (k *Coordinator) HandleReport(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.ReportRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	reply := k.Report(&request)
	return &reply, nil
}
