package allocator_test

import (
	"slices"
	"time"

	"fescuebank"
	"fescuebank/internal/batch/pacer"
)

// begin sends work to its endpoint. The caller holds the lock.
func (f *unevenFleet) begin(w *unevenWork) {
	w.arrival = &arrival{}
	w.timer = w.instance.profiler.Begin(w.slot.Endpoint, &fescuebank.Request{Route: &fescuebank.Route{Name: "r"}})
	w.arrival.start = func() {
		w.next = time.AfterFunc(time.Duration(float64(headTime)*f.pace(w.slot.Endpoint.ID)), func() { f.advance(w) })
	}
	f.endpoints[w.slot.Endpoint.ID].arrive(w.arrival)
}

// advance brings one event of some work.
func (f *unevenFleet) advance(w *unevenWork) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.cancelled {
		return
	}
	if !w.begun {
		w.begun = true
		f.observeHead(w)
	}
	w.timer.Arrived(1)
	w.left--
	if w.left > 0 {
		w.next = time.AfterFunc(time.Duration(float64(eventTime)*f.pace(w.slot.Endpoint.ID)), func() { f.advance(w) })
		return
	}
	f.end(w)
}

// observeHead applies the head of a response. The caller holds the lock.
func (f *unevenFleet) observeHead(w *unevenWork) {
	id := w.slot.Endpoint.ID
	if f.load.reports {
		e := f.endpoints[id]
		w.slot.ObserveResponse(fescuebank.ResponseInfo{Load: &fescuebank.EndpointLoad{
			Running: e.running, Waiting: len(e.queue), Slots: e.slots, Slowdown: fescuebank.Slowdown(f.pace(id) / f.lasting[id]),
		}})
	}
	if w.instance.pacer != nil {
		return
	}
	if time.Since(w.arrived) <= waveObjective {
		f.result.inTime++
	} else {
		f.result.late++
	}
}

// end ends work, done or cancelled. The caller holds the lock.
func (f *unevenFleet) end(w *unevenWork) {
	id := w.slot.Endpoint.ID
	f.endpoints[id].leave(w.arrival)
	w.slot.Release()
	in := w.instance
	if in.pacer == nil {
		f.result.totals = append(f.result.totals, time.Since(w.arrived))
		in.keepConnection(id)
		return
	}
	in.running = slices.DeleteFunc(in.running, func(r *unevenWork) bool { return r == w })
	if w.cancelled {
		in.pending = append(in.pending, w.left)
	} else {
		f.result.itemsDone++
	}
}

// runItems starts and preempts the items of an owner.
func (f *unevenFleet) runItems(in *unevenInstance, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	running := slices.DeleteFunc(slices.Clone(in.running), func(w *unevenWork) bool { return w.cancelled })
	count := in.pacer.Cancel("s", now, pacer.Load{
		Excess: in.allocator.BatchExcess("s", pacer.MinReservedShare), Running: len(running), Cancelled: len(in.running) - len(running),
		Others: in.others, Lag: f.lag + 4*cancelTime,
	})
	for _, w := range running[:count] {
		f.result.preempted++
		w.cancelled = true
		time.AfterFunc(cancelTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.end(w)
		})
	}
	for owners := len(f.instances) - f.entries; !in.nextItem.After(now); in.nextItem = in.nextItem.Add(f.itemInterval(owners)) {
		in.pending = append(in.pending, itemEvents)
	}
	for len(in.pending) > 0 {
		room := pacer.Room{Free: in.allocator.BatchRoom("s", pacer.StartReservedShare), Instances: len(f.instances) - f.entries, Lag: f.lag}
		if !in.pacer.MayStart("s", now, room) {
			return
		}
		slot := in.allocator.AcquireBatch("s", "", pacer.StartReservedShare)
		if slot == nil {
			return
		}
		in.pacer.RecordStart("s", now)
		w := &unevenWork{instance: in, slot: slot, arrived: now, left: in.pending[0]}
		in.pending = in.pending[1:]
		in.running = append(in.running, w)
		f.begin(w)
	}
}
