package manager

import (
	"context"
	"time"

	"fescuebank"
)

const (
	// stopTime is how long attempts take to end once they are told to.
	stopTime = 40 * time.Millisecond
	// handoverPause is how long a new owner waits for the progress of the one before
	// until it starts an item.
	handoverPause = 250 * time.Millisecond
)

// ItemProgress is the progress of one item that goes on at another owner.
type ItemProgress struct {
	Job      fescuebank.JobID    `cbor:"1,keyasint"`
	Item     string              `cbor:"2,keyasint"`
	Progress fescuebank.Progress `cbor:"3,keyasint"`
}

// ProgressHandover is what a former owner of a team tells the one after it.
type ProgressHandover struct {
	Team  fescuebank.TeamID `cbor:"1,keyasint"`
	Items []ItemProgress    `cbor:"2,keyasint"`
}

// pass tells the team's next owner what was generated of items without a result.
func (s *Manager) pass(a *account) {
	_ = fescuebank.Sleep(context.Background(), s.Clock, stopTime)
	h := ProgressHandover{Team: a.team}
	a.mu.Lock()
	for _, j := range a.jobs {
		h.Items = append(h.Items, j.progressed()...)
	}
	a.mu.Unlock()
	if len(h.Items) > 0 {
		s.SendHandover(h)
	}
}

// progressed returns the items of an open job that have begun and wait.
func (j *job) progressed() []ItemProgress {
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

// HandleProgressHandover takes in the progress that a former owner tells.
func (s *Manager) HandleProgressHandover(ctx context.Context, decode func(into any) error) (any, error) {
	var h ProgressHandover
	if err := decode(&h); err != nil {
		return nil, err
	}
	a, err := s.account(ctx, h.Team)
	if err != nil {
		return nil, err
	}
	taken := 0
	a.mu.Lock()
	for _, p := range h.Items {
		if j := a.jobs[p.Job]; j != nil && j.resume(p) {
			taken++
		}
	}
	a.mu.Unlock()
	s.Log.Info("Progress taken over.", "team", string(h.Team), "items", len(h.Items), "taken", taken)
	s.OnItemsAvailable()
	return &struct{}{}, nil
}

// resume lets an item that waits go on from more than it has. It reports whether
// the item will.
func (j *job) resume(p ItemProgress) bool {
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

// pause keeps the items of a job that was taken over from starting until the former
// owner may have told their progress.
func (j *job) pause(until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range j.items {
		it.notBefore = until
	}
}
