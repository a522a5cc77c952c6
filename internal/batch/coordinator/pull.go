package coordinator

import (
	"cmp"
	"context"
	"slices"

	"fescuebank"
)

// maxPullItems bounds the items of one pull.
const maxPullItems = 64

// Pull hands out items: those of the team that has been served the least relative to its
// weight first, and among a team's jobs those of the job due first.
func (co *Coordinator) Pull(r *fescuebank.PullRequest) fescuebank.PullReply {
	reply := fescuebank.PullReply{Expiry: co.pullExpiry}
	limit := min(max(0, r.Limit), maxPullItems)
	now := co.clock.Now()
	for len(reply.Items) < limit {
		j := co.chooseJob(r.Models)
		if j == nil {
			break
		}
		j.mu.Lock()
		items := j.tracker.TakeItems(now, r.From, r.Models, 1, co.pullExpiry)
		j.mu.Unlock()
		if len(items) == 0 {
			break
		}
		co.charge(j.spec.Team, costOf(items[0]))
		reply.Items = append(reply.Items, items...)
	}
	reply.Weight = co.waitingWeight(r.Models)
	return reply
}

// costOf estimates the work of an item in tokens by the length of its line, because the
// length of its output is not known yet. Output is charged when it is reported.
func costOf(item fescuebank.PulledItem) float64 {
	const charsPerToken = 4
	return 1 + float64(len(item.Line))/charsPerToken
}

// candidate is an owned job with pending items.
type candidate struct {
	job *ownedJob
	// served is what the job's team has been served.
	served float64
}

// chooseJob returns the job to hand out the next item of, or nil.
func (co *Coordinator) chooseJob(models []fescuebank.ModelName) *ownedJob {
	var best candidate
	for _, c := range co.candidates(models) {
		if best.job == nil || c.before(best) {
			best = c
		}
	}
	return best.job
}

// before reports whether c comes before other: by team, and within a team by due time.
func (c candidate) before(other candidate) bool {
	if c.job.spec.Team != other.job.spec.Team {
		return cmp.Or(cmp.Compare(c.served, other.served), cmp.Compare(c.job.spec.Team, other.job.spec.Team)) < 0
	}
	return cmp.Or(c.job.spec.Due.Compare(other.job.spec.Due), cmp.Compare(c.job.spec.ID, other.job.spec.ID)) < 0
}

// candidates returns the jobs with pending items for one of the models.
func (co *Coordinator) candidates(models []fescuebank.ModelName) []candidate {
	co.mu.Lock()
	defer co.mu.Unlock()
	var list []candidate
	for id, j := range co.jobs {
		if !co.active[id].Cancel && j.hasPending(models) && co.mayHandOut(j) {
			list = append(list, candidate{job: j, served: co.served[j.spec.Team]})
		}
	}
	return list
}

// mayHandOut reports whether this instance still owns the job as it was loaded.
func (co *Coordinator) mayHandOut(j *ownedJob) bool {
	shard, _ := j.spec.ID.Shard()
	return co.mayActUnder(shard, j.fencing)
}

// hasPending reports whether the job has pending items for one of the models.
func (j *ownedJob) hasPending(models []fescuebank.ModelName) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.stale {
		return false
	}
	return slices.ContainsFunc(j.tracker.PendingModels(), func(m fescuebank.ModelName) bool { return slices.Contains(models, m) })
}

// charge adds work to what a team has been served. A team that returns after a pause
// continues from the lowest value of the other teams, so that it has no claim to the
// work that it did not request during its pause.
func (co *Coordinator) charge(team fescuebank.TeamID, cost float64) {
	weight := co.config.Current().TeamWeight(team)
	co.mu.Lock()
	defer co.mu.Unlock()
	co.served[team] = max(co.served[team], co.minServed(team)) + cost/weight
}

// minServed returns the lowest served value of the other teams with jobs here. The
// caller holds mu.
func (co *Coordinator) minServed(team fescuebank.TeamID) float64 {
	lowest, found := 0.0, false
	for _, j := range co.jobs {
		if j.spec.Team == team {
			continue
		}
		if s := co.served[j.spec.Team]; !found || s < lowest {
			lowest, found = s, true
		}
	}
	return lowest
}

// waitingWeight returns the summed weight of the teams with pending items for one of the
// models. Teams without settings don't count.
func (co *Coordinator) waitingWeight(models []fescuebank.ModelName) float64 {
	teams := make(map[fescuebank.TeamID]bool)
	total := 0.0
	for _, c := range co.candidates(models) {
		team := c.job.spec.Team
		if teams[team] {
			continue
		}
		teams[team] = true
		if t, ok := co.config.Current().Teams[team]; ok {
			total += t.Weight
		}
	}
	return total
}

// HandlePull handles a PullRequest of another instance.
func (co *Coordinator) HandlePull(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.PullRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	reply := co.Pull(&request)
	return &reply, nil
}

// Report applies a puller's reports and returns the items that it should stop.
func (co *Coordinator) Report(r *fescuebank.ReportRequest) fescuebank.ReportReply {
	var reply fescuebank.ReportReply
	for _, report := range r.Reports {
		if !co.report(r.From, report) {
			reply.Stop = append(reply.Stop, report.Ref)
		}
	}
	return reply
}

// report applies the report on one item, and reports whether the item may go on.
func (co *Coordinator) report(from fescuebank.InstanceID, r fescuebank.ItemReport) bool {
	co.mu.Lock()
	j, ok := co.jobs[r.Ref.Job]
	cancelled := co.active[r.Ref.Job].Cancel
	co.mu.Unlock()
	if !ok || cancelled {
		return false
	}
	co.charge(j.spec.Team, float64(r.Used))
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.stale && j.tracker.Report(co.clock.Now(), from, r, co.pullExpiry)
}

// HandleReport handles a ReportRequest of another instance.
func (co *Coordinator) HandleReport(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.ReportRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	reply := co.Report(&request)
	return &reply, nil
}
