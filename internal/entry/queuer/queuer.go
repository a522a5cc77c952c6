// Package queuer orders waiting requests by weighted fair queueing between teams.
package queuer

import (
	"container/heap"
	"slices"
	"time"

	"fescuebank"
)

// Queuer is a bounded start-time fair queue. Each request costs its estimated tokens
// divided by its team's weight; CorrectCharge adjusts for the actual cost later. It does
// no I/O and takes no lock.
type Queuer struct {
	// maxPerTeam bounds the waiting requests of one team.
	maxPerTeam int
	// virtualTime is the start tag of the newest request served.
	virtualTime float64
	flows       map[fescuebank.TeamID]*flow
	backlogged  flowHeap
	length      int
}

// Item is one waiting request.
type Item struct {
	Team   fescuebank.TeamID
	Weight float64
	Cost   fescuebank.Tokens
	// Deadline is the time after which serving the request is useless; zero means never.
	Deadline time.Time
	// Value is the caller's own data.
	Value any
	// removed marks an item that has left the queue.
	removed bool
}

// flow is the usage and the waiting requests of one team.
type flow struct {
	team fescuebank.TeamID
	// finish is the start tag of the team's next request.
	finish float64
	items  []*Item
	// start is the start tag of items[0].
	start float64
	index int
}

// New returns an empty queue.
func New(maxPerTeam int) *Queuer {
	return &Queuer{maxPerTeam: maxPerTeam, flows: make(map[fescuebank.TeamID]*flow)}
}

// Len returns the number of waiting requests.
func (q *Queuer) Len() int {
	return q.length
}

// WaitingWeight returns the summed weight of the teams with waiting requests.
func (q *Queuer) WaitingWeight() float64 {
	total := 0.0
	for _, f := range q.backlogged {
		total += f.items[0].Weight
	}
	return total
}

// CountByTeam adds the number of each team's waiting requests to counts.
func (q *Queuer) CountByTeam(counts map[fescuebank.TeamID]int) {
	for _, f := range q.backlogged {
		counts[f.team] += len(f.items)
	}
}

// Charge accounts for a request that is served without queueing.
func (q *Queuer) Charge(team fescuebank.TeamID, weight float64, cost fescuebank.Tokens) {
	f := q.flow(team)
	start := max(q.virtualTime, f.finish)
	f.finish = start + float64(cost)/weight
}

// CorrectCharge charges what a request cost beyond its estimate, or refunds what it did not use
// if extra is negative.
func (q *Queuer) CorrectCharge(team fescuebank.TeamID, weight float64, extra fescuebank.Tokens) {
	f := q.flow(team)
	f.finish = max(q.virtualTime, f.finish+float64(extra)/weight)
	if len(f.items) > 0 {
		f.start = max(q.virtualTime, f.start+float64(extra)/weight)
		heap.Fix(&q.backlogged, f.index)
	}
}

func (q *Queuer) flow(team fescuebank.TeamID) *flow {
	f, ok := q.flows[team]
	if !ok {
		q.evictIdle() // Before the new flow is added, which is idle too.
		f = &flow{team: team, index: -1}
		q.flows[team] = f
	}
	return f
}

// evictAbove is the number of flows above which idle ones are evicted.
const evictAbove = 1024

// evictIdle evicts a few idle flows that are behind the virtual time: a new flow would
// start there as well.
func (q *Queuer) evictIdle() {
	if len(q.flows) < evictAbove {
		return
	}
	const maxScanned = 4
	n := 0
	for team, f := range q.flows {
		if len(f.items) == 0 && f.finish <= q.virtualTime {
			delete(q.flows, team)
		}
		if n++; n == maxScanned {
			return
		}
	}
}

// Push adds a request. It returns false if its team has too many waiting.
func (q *Queuer) Push(item *Item) bool {
	f := q.flow(item.Team)
	if len(f.items) >= q.maxPerTeam {
		return false
	}
	f.items = append(f.items, item)
	q.length++
	if len(f.items) == 1 {
		f.start = max(q.virtualTime, f.finish)
		heap.Push(&q.backlogged, f)
	}
	return true
}

// Remove removes a request that its caller canceled. It does nothing if the request was
// already removed or popped.
func (q *Queuer) Remove(item *Item) {
	if item.removed {
		return
	}
	item.removed = true
	f := q.flows[item.Team]
	if i := slices.Index(f.items, item); i >= 0 {
		f.items = slices.Delete(f.items, i, i+1)
		q.length--
	}
	if len(f.items) == 0 && f.index >= 0 {
		heap.Remove(&q.backlogged, f.index)
	}
}

// Peek returns the next request without removing it, or nil.
func (q *Queuer) Peek() *Item {
	if len(q.backlogged) == 0 {
		return nil
	}
	return q.backlogged[0].items[0]
}

// Pop removes and returns the next request, or returns nil.
func (q *Queuer) Pop() *Item {
	if len(q.backlogged) == 0 {
		return nil
	}
	f := q.backlogged[0]
	item := f.items[0]
	f.items = f.items[1:]
	item.removed = true
	q.length--
	q.virtualTime = max(q.virtualTime, f.start)
	f.finish = f.start + float64(item.Cost)/item.Weight
	if len(f.items) == 0 {
		f.items = nil
		heap.Pop(&q.backlogged)
		return item
	}
	f.start = f.finish
	heap.Fix(&q.backlogged, 0)
	return item
}

// flowHeap orders flows by the start tag of their first request.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].team < h[j].team
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	*h = old[:len(old)-1]
	f.index = -1
	return f
}
