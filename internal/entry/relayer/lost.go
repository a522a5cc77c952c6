package relayer

import (
	"sync"
	"time"
)

// minLostSilence is how long an endpoint must have sent nothing for its stream to move before the
// progress timeout, once the endpoints can't be reached from this instance. Connections that live
// on deliver bytes more often.
const minLostSilence = 200 * time.Millisecond

// stallWatches holds the watches of the attempts in progress.
type stallWatches struct {
	mu      sync.Mutex
	watches map[*stallWatch]bool
}

func (s *stallWatches) add(w *stallWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watches == nil {
		s.watches = make(map[*stallWatch]bool)
	}
	s.watches[w] = true
}

func (s *stallWatches) remove(w *stallWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watches, w)
}

func (s *stallWatches) list() []*stallWatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*stallWatch, 0, len(s.watches))
	for w := range s.watches {
		list = append(list, w)
	}
	return list
}

// MoveSilent asks other endpoints to continue the streams whose endpoints send nothing, without
// waiting for the progress timeout. It is called when this instance reaches endpoints only in
// another way than these streams go.
func (y *Relayer) MoveSilent() {
	for _, w := range y.watches.list() {
		w.expedite()
	}
}

// expedite ends the timeout if the endpoint has been silent for minLostSilence.
func (w *stallWatch) expedite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	silent := w.transfer.clock.Now().Sub(w.waitingSince) >= minLostSilence
	if w.state == stallWaiting && silent && w.timer != nil && w.timer.Stop() {
		go w.move()
	}
}
