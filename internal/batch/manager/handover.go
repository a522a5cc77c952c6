package manager

import (
	"context"
	"time"

	"fescuebank"
)

const (
	// attemptStopWait is how long running attempts have to end after they are
	// cancelled, so that their progress is part of the handover.
	attemptStopWait = 40 * time.Millisecond
	// handoverWait is how long a new owner waits for the former owner's progress
	// before it starts the items of a loaded job.
	handoverWait = 250 * time.Millisecond
)

// ItemProgress is the progress of one item at the former owner.
type ItemProgress struct {
	Job      fescuebank.JobID    `cbor:"1,keyasint"`
	Item     string              `cbor:"2,keyasint"`
	Progress fescuebank.Progress `cbor:"3,keyasint"`
}

// ProgressHandover is sent by a team's former owner to its next owner, so that
// started items continue instead of starting over.
type ProgressHandover struct {
	Team  fescuebank.TeamID `cbor:"1,keyasint"`
	Items []ItemProgress    `cbor:"2,keyasint"`
}

// handOver sends the progress of started items without a result to the team's
// next owner.
func (m *Manager) handOver(tj *teamJobs) {
	_ = fescuebank.Sleep(context.Background(), m.Clock, attemptStopWait)
	h := ProgressHandover{Team: tj.team}
	tj.mu.Lock()
	for _, j := range tj.jobs {
		h.Items = append(h.Items, j.startedItems()...)
	}
	tj.mu.Unlock()
	if len(h.Items) > 0 {
		m.SendHandover(h)
	}
}

// startedItems returns the progress of those waiting items that earlier attempts
// have started, unless the job has ended.
func (j *job) startedItems() []ItemProgress {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return nil
	}
	var list []ItemProgress
	for id, it := range j.items {
		if it.phase == phaseWaiting && it.progress.Events > 0 {
			list = append(list, ItemProgress{Job: j.spec.ID, Item: id, Progress: it.progress})
		}
	}
	return list
}

// HandleProgressHandover applies the progress that a former owner sent.
func (m *Manager) HandleProgressHandover(ctx context.Context, decode func(into any) error) (any, error) {
	var h ProgressHandover
	if err := decode(&h); err != nil {
		return nil, err
	}
	tj, err := m.teamJobs(ctx, h.Team)
	if err != nil {
		return nil, err
	}
	applied := 0
	tj.mu.Lock()
	for _, p := range h.Items {
		if j := tj.jobs[p.Job]; j != nil && j.applyProgress(p) {
			applied++
		}
	}
	tj.mu.Unlock()
	m.Log.Info("Progress received from the former owner.", "team", string(h.Team), "items", len(h.Items), "taken", applied)
	m.OnItemsAvailable()
	return &struct{}{}, nil
}

// applyProgress updates a waiting item if the handover has more of its output, and
// lets it start at once. It reports whether it did.
func (j *job) applyProgress(p ItemProgress) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	it := j.items[p.Item]
	if it == nil || it.phase != phaseWaiting || it.progress.Events >= p.Progress.Events {
		return false
	}
	it.progress = p.Progress
	it.notBefore = time.Time{}
	return true
}

// delayItems keeps the items of a loaded job from starting until the former owner
// has had time to send their progress.
func (j *job) delayItems(until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range j.items {
		it.notBefore = until
	}
}
