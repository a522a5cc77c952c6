package resumer

import (
	"context"
	"slices"
	"time"

	"fescuebank"
)

const (
	// sendInterval is the least time between two sends, which collect what became due
	// meanwhile into one message per backup.
	sendInterval = 10 * time.Millisecond
	// sendTimeout bounds one call to a backup.
	sendTimeout = 300 * time.Millisecond
	// deliverTimeout is how long after its start the copies of a record are sent. Until then
	// each failed copy is sent to the next member in order.
	deliverTimeout = time.Second
	// maxWaiting is the number of records that wait for one backup or for the selection of
	// their backups. Copies of more are not sent.
	maxWaiting = 1024
)

// delivery is a record whose copies are being sent.
type delivery struct {
	record   fescuebank.StreamRecord
	deadline time.Time
	// selected are all members that were selected as its backups, also those that failed.
	selected []fescuebank.InstanceID
}

// outbox holds the deliveries to one backup.
type outbox struct {
	addr    string
	waiting []*delivery
	// calling is set while a call to the backup is in progress. There is one at a time.
	calling bool
}

// addDelivery makes Run send copies of a record. The caller holds the lock.
func (r *Resumer) addDelivery(now time.Time, record fescuebank.StreamRecord) {
	if len(r.unassigned) >= maxWaiting {
		return
	}
	r.unassigned = append(r.unassigned, &delivery{record: record, deadline: now.Add(deliverTimeout)})
	r.signal()
}

// signal makes Run send what is due.
func (r *Resumer) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run sends copies of new records to their backups until ctx ends. No timer runs while there
// is nothing to send.
func (r *Resumer) Run(ctx context.Context) {
	var lastSend time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		if wait := sendInterval - r.Clock.Now().Sub(lastSend); wait > 0 {
			_ = fescuebank.Sleep(ctx, r.Clock, wait)
		}
		lastSend = r.Clock.Now()
		r.assignNew()
		r.sendWaiting(ctx)
	}
}

// assignNew selects the backups of new records.
func (r *Resumer) assignNew() {
	r.mu.Lock()
	deliveries := r.unassigned
	r.unassigned = nil
	r.mu.Unlock()
	r.assign(deliveries, copies)
}

// assign adds each delivery to the outboxes of the next count members in its order.
func (r *Resumer) assign(deliveries []*delivery, count int) {
	if len(deliveries) == 0 {
		return
	}
	members := candidates(r.Members.Peers(), toStore, storeCandidates)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range deliveries {
		for _, m := range d.selectNext(members, count) {
			r.enqueue(m, d)
		}
	}
}

// selectNext returns the first count members in the delivery's order that were not selected
// before.
func (d *delivery) selectNext(members []member, count int) []member {
	order := slices.DeleteFunc(rank(members, string(d.record.ID)), func(m member) bool { return slices.Contains(d.selected, m.id) })
	next := order[:min(len(order), count)]
	for _, m := range next {
		d.selected = append(d.selected, m.id)
	}
	return next
}

// enqueue adds a delivery to the outbox of a backup. The caller holds the lock.
func (r *Resumer) enqueue(m member, d *delivery) {
	o := r.outboxes[m.id]
	if o == nil {
		o = &outbox{}
		r.outboxes[m.id] = o
	}
	o.addr = m.addr
	if len(o.waiting) < maxWaiting {
		o.waiting = append(o.waiting, d)
	}
}

// sendWaiting starts a call to each backup for which deliveries wait and none is in progress.
func (r *Resumer) sendWaiting(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, o := range r.outboxes {
		if o.calling || len(o.waiting) == 0 {
			continue
		}
		count := min(len(o.waiting), maxBatch)
		batch := o.waiting[:count:count]
		o.waiting = o.waiting[count:]
		o.calling = true
		go r.send(ctx, id, o.addr, batch)
	}
}

// send sends one batch to a backup. If that fails, the batch and all that waits for the same
// backup are assigned to other members.
func (r *Resumer) send(ctx context.Context, id fescuebank.InstanceID, addr string, batch []*delivery) {
	err := r.callRecord(ctx, addr, batch)
	waiting := r.endCall(id)
	if err != nil {
		r.Log.Debug("Stream records not sent.", "peer", string(id), "records", len(batch), "err", err.Error())
		r.reassign(append(batch, waiting...))
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range waiting {
		r.enqueue(member{id: id, addr: addr}, d)
		r.signal()
	}
}

func (r *Resumer) callRecord(ctx context.Context, addr string, batch []*delivery) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	request := &fescuebank.RecordStreamsRequest{Records: make([]fescuebank.StreamRecord, 0, len(batch))}
	for _, d := range batch {
		request.Records = append(request.Records, d.record)
	}
	return r.Peer.Call(ctx, addr, fescuebank.KindRecordStreams, request, &fescuebank.RecordStreamsReply{})
}

// endCall removes the outbox of a backup and returns what waited there.
func (r *Resumer) endCall(id fescuebank.InstanceID) []*delivery {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := r.outboxes[id].waiting
	delete(r.outboxes, id)
	return waiting
}

// reassign selects another backup for each delivery that failed before its deadline.
func (r *Resumer) reassign(deliveries []*delivery) {
	now := r.Clock.Now()
	r.assign(slices.DeleteFunc(deliveries, func(d *delivery) bool { return !now.Before(d.deadline) }), 1)
	r.signal()
}
