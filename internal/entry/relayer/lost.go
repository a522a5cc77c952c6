package relayer

import (
	"sync"
	"time"
)

// maxLostHold is how long a silent stream that can't move holds its slot, once the endpoints can't be
// reached from this instance.
const maxLostHold = time.Second

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

// expedite ends the timeout if the endpoint has been silent for minLostSilence. A stream that can't move
// goes on to wait, but gives up its slot later.
func (w *stallWatch) expedite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	silence := w.transfer.clock.Now().Sub(w.waitingSince)
	if w.state != stallWaiting || silence < minLostSilence {
		return
	}
	since := w.waitingSince
	if !w.mayAsk() {
		time.AfterFunc(maxLostHold-silence, func() { w.releaseSlot(since) })
		return
	}
	if w.timer.Stop() {
		go w.move(since)
	}
}

// releaseSlot releases the slot of a stream whose endpoint has been silent since a time: by now the
// endpoint has generated the response, which doesn't arrive.
func (w *stallWatch) releaseSlot(since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == stallWaiting && w.waitingSince.Equal(since) {
		w.slot.Release()
	}
}
