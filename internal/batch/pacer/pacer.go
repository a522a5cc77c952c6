// Package pacer decides how many batch items an instance starts, and how many it cancels when
// online requests need their slots.
package pacer

import (
	"time"

	"fescuebank"
)

// The shares of a service's slots that batch work leaves free: StartReservedShare when an item
// starts, and MinReservedShare afterwards.
const (
	StartReservedShare = 0.10
	MinReservedShare   = 0.04
)

// Pacer divides free slots, and slots to be released, among the instances that run batch
// items. They know one another's counts only with a lag. If each one took all free slots that
// it sees, or released all that are needed, far too many items would start or be cut off.
type Pacer struct {
	// started and cancelled hold the times of this instance's starts and cancellations that
	// the other instances may not have seen, by service, in ascending order.
	started   map[fescuebank.ServiceName][]time.Time
	cancelled map[fescuebank.ServiceName][]time.Time
}

// New returns a pacer that has started and cancelled nothing.
func New() *Pacer {
	return &Pacer{started: make(map[fescuebank.ServiceName][]time.Time), cancelled: make(map[fescuebank.ServiceName][]time.Time)}
}

// Room describes the free slots of a service.
type Room struct {
	// Free is the number of slots that batch items may take, by the counts known here: the
	// newest ones of this instance and older ones of the others.
	Free int
	// Instances is the number of instances that start items, including this one.
	Instances int
	// Lag is the maximum age of the counts of the others.
	Lag time.Duration
}

// MayStart reports whether this instance may start one more item now.
func (p *Pacer) MayStart(service fescuebank.ServiceName, now time.Time, room Room) bool {
	recent := since(p.started[service], now.Add(-room.Lag))
	p.started[service] = recent
	if room.Free <= 0 {
		return false
	}
	// The others have not seen the recent starts either, so all count with the free slots.
	instances := max(1, room.Instances)
	share := (room.Free + len(recent) + instances - 1) / instances
	return len(recent) < share
}

// RecordStart records that this instance has started an item.
func (p *Pacer) RecordStart(service fescuebank.ServiceName, now time.Time) {
	p.started[service] = append(p.started[service], now)
}

// Load describes the batch items of one service.
type Load struct {
	// Excess is how many slots batch items must release, by the counts known here: the
	// newest ones of this instance and older ones of the others.
	Excess int
	// Running is the number of items that this instance runs, without cancelled ones.
	Running int
	// Cancelled is the number of cancelled items whose slots this instance has not released
	// yet.
	Cancelled int
	// Others is the number of items that the other instances run, by older counts.
	Others int
	// Lag is the maximum age of those counts.
	Lag time.Duration
}

// Cancel returns how many of its items this instance has to cancel now. It takes them for
// cancelled.
func (p *Pacer) Cancel(service fescuebank.ServiceName, now time.Time, load Load) int {
	recent := since(p.cancelled[service], now.Add(-load.Lag))
	count := cancellations(load, len(recent))
	for range count {
		recent = append(recent, now)
	}
	p.cancelled[service] = recent
	return count
}

// cancellations returns the cancellations due after recent ones. The slots that these
// released are added to the excess again, as the shares of the others, which are not seen
// yet, were due at the same time.
func cancellations(load Load, recent int) int {
	if load.Excess <= 0 || load.Running <= 0 {
		return 0
	}
	cancelled := max(recent, load.Cancelled)
	released := cancelled - load.Cancelled
	own := load.Running + cancelled
	all := own + load.Others
	share := ((load.Excess+released)*own + all - 1) / all
	return max(0, min(load.Running, share-cancelled))
}

// since returns the times of a list in ascending order that are not before start.
func since(list []time.Time, start time.Time) []time.Time {
	for len(list) > 0 && list[0].Before(start) {
		list = list[1:]
	}
	return list
}
