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
	reply := fescuebank.PullReply{Expiry: k.pullExpiry}
	limit := min(max(0, r.Limit), maxPull)
	now := k.clock.Now()
	for len(reply.Items) < limit {
		j := k.choose(r.Models)
		if j == nil {
			break
		}
		j.mu.Lock()
		items := j.ledger.Take(now, r.From, r.Models, 1, k.pullExpiry)
		j.mu.Unlock()
		if len(items) == 0 {
			break
		}
		k.charge(j.spec.Team, costOf(items[0]))
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
	job    *ownedJob
	served float64
}

// choose returns the job to take the next item from.
func (k *Coordinator) choose(models []fescuebank.ModelName) *ownedJob {
	var best candidate
	for _, c := range k.candidates(models) {
		if best.job == nil || c.before(best) {
			best = c
		}
	}
	return best.job
}

func (c candidate) before(other candidate) bool {
	if c.job.spec.Team != other.job.spec.Team {
		return cmp.Or(cmp.Compare(c.served, other.served), cmp.Compare(c.job.spec.Team, other.job.spec.Team)) < 0
	}
	return cmp.Or(c.job.spec.Due.Compare(other.job.spec.Due), cmp.Compare(c.job.spec.ID, other.job.spec.ID)) < 0
}

func (k *Coordinator) candidates(models []fescuebank.ModelName) []candidate {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []candidate
	for id, j := range k.jobs {
		if !k.active[id].Cancel && j.hasPending(models) && k.mayHandOut(j) {
			list = append(list, candidate{job: j, served: k.served[j.spec.Team]})
		}
	}
	return list
}

func (k *Coordinator) mayHandOut(j *ownedJob) bool {
	shard, _ := j.spec.ID.Shard()
	return k.mayActUnder(shard, j.fencing)
}

func (j *ownedJob) hasPending(models []fescuebank.ModelName) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.stale {
		return false
	}
	return slices.ContainsFunc(j.ledger.PendingModels(), func(m fescuebank.ModelName) bool { return slices.Contains(models, m) })
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
	k.served[team] = max(k.served[team], k.minServed(team)) + cost/weight
}

// floor is the least that any other team with jobs here was served. The caller
// holds mu.
func (k *Coordinator) minServed(team fescuebank.TeamID) float64 {
	least, found := 0.0, false
	for _, j := range k.jobs {
		if j.spec.Team == team {
			continue
		}
		if s := k.served[j.spec.Team]; !found || s < least {
			least, found = s, true
		}
	}
	return least
}

func (k *Coordinator) waitingWeight(models []fescuebank.ModelName) float64 {
	teams := make(map[fescuebank.TeamID]bool)
	total := 0.0
	for _, c := range k.candidates(models) {
		team := c.job.spec.Team
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
	j, ok := k.jobs[r.Ref.Job]
	cancelled := k.active[r.Ref.Job].Cancel
	k.mu.Unlock()
	if !ok || cancelled {
		return false
	}
	k.charge(j.spec.Team, float64(r.Used))
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.stale && j.ledger.Report(k.clock.Now(), from, r, k.pullExpiry)
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
