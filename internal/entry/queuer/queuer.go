// Package queuer orders waiting requests fairly between teams.
package queuer

import (
	"container/heap"
	"slices"
	"time"

	"fescuebank"
)

// Queuer is a bounded start-time fair queue. Each request costs its estimated
// tokens over its team's weight; the true cost corrects the team's account
// later. It does no I/O and takes no lock.
type Queuer struct {
	// perTeam bounds the waiting requests of one team.
	perTeam int
	// virtual is the start tag of the newest request served.
	virtual float64
	teams   map[fescuebank.TeamID]*account
	heads   accountHeap
	length  int
}

// Item is one waiting request.
type Item struct {
	Team   fescuebank.TeamID
	Weight float64
	Cost   fescuebank.Tokens
	// Deadline is when serving it makes no sense any more; zero means never.
	Deadline time.Time
	// Value is the caller's own.
	Value any
	// gone marks an item that was removed.
	gone bool
}

// account is what one team has used and what it waits for.
type account struct {
	team fescuebank.TeamID
	// finish is the tag at which the team's next request may start.
	finish float64
	items  []*Item
	// start is the start tag of items[0].
	start float64
	index int
}

// New returns an empty queue.
func New(perTeam int) *Queuer {
	return &Queuer{perTeam: perTeam, teams: make(map[fescuebank.TeamID]*account)}
}

// Len returns the number of waiting requests.
func (q *Queuer) Len() int {
	return q.length
}

// WaitingWeight returns the summed weight of teams that wait.
func (q *Queuer) WaitingWeight() float64 {
	total := 0.0
	for _, a := range q.heads {
		total += a.items[0].Weight
	}
	return total
}

// CountByTeam adds the number of each team's waiting requests to counts.
func (q *Queuer) CountByTeam(counts map[fescuebank.TeamID]int) {
	for _, a := range q.heads {
		counts[a.team] += len(a.items)
	}
}

// Charge accounts for a request that is served without waiting.
func (q *Queuer) Charge(team fescuebank.TeamID, weight float64, cost fescuebank.Tokens) {
	a := q.account(team)
	start := max(q.virtual, a.finish)
	a.finish = start + float64(cost)/weight
}

// Correct adds what a request cost beyond its estimate, or takes back what it
// did not use.
func (q *Queuer) Correct(team fescuebank.TeamID, weight float64, extra fescuebank.Tokens) {
	a := q.account(team)
	a.finish = max(q.virtual, a.finish+float64(extra)/weight)
	if len(a.items) > 0 {
		a.start = max(q.virtual, a.start+float64(extra)/weight)
		heap.Fix(&q.heads, a.index)
	}
}

func (q *Queuer) account(team fescuebank.TeamID) *account {
	a, ok := q.teams[team]
	if !ok {
		a = &account{team: team, index: -1}
		q.teams[team] = a
		q.forget()
	}
	return a
}

// forgetAbove is the number of accounts from which idle ones are dropped.
const forgetAbove = 1024

// forget drops a few accounts that are behind the virtual time; they would
// start at it anyway.
func (q *Queuer) forget() {
	if len(q.teams) < forgetAbove {
		return
	}
	const looks = 4
	n := 0
	for team, a := range q.teams {
		if len(a.items) == 0 && a.finish <= q.virtual {
			delete(q.teams, team)
		}
		if n++; n == looks {
			return
		}
	}
}

// Push adds a request. It returns false if its team has too many waiting.
func (q *Queuer) Push(item *Item) bool {
	a := q.account(item.Team)
	if len(a.items) >= q.perTeam {
		return false
	}
	a.items = append(a.items, item)
	q.length++
	if len(a.items) == 1 {
		a.start = max(q.virtual, a.finish)
		heap.Push(&q.heads, a)
	}
	return true
}

// Remove takes out a request that gave up. The request must be waiting.
func (q *Queuer) Remove(item *Item) {
	if item.gone {
		return
	}
	item.gone = true
	a := q.teams[item.Team]
	if i := slices.Index(a.items, item); i >= 0 {
		a.items = slices.Delete(a.items, i, i+1)
		q.length--
	}
	if len(a.items) == 0 && a.index >= 0 {
		heap.Remove(&q.heads, a.index)
	}
}

// Peek returns the request that is due, or nil, and leaves it in the queue.
func (q *Queuer) Peek() *Item {
	if len(q.heads) == 0 {
		return nil
	}
	return q.heads[0].items[0]
}

// Pop takes out the request that is due, or returns nil.
func (q *Queuer) Pop() *Item {
	if len(q.heads) == 0 {
		return nil
	}
	a := q.heads[0]
	item := a.items[0]
	a.items = a.items[1:]
	item.gone = true
	q.length--
	q.virtual = max(q.virtual, a.start)
	a.finish = a.start + float64(item.Cost)/item.Weight
	if len(a.items) == 0 {
		a.items = nil
		heap.Pop(&q.heads)
		return item
	}
	a.start = a.finish
	heap.Fix(&q.heads, 0)
	return item
}

// accountHeap orders teams by the start tag of their first request.
type accountHeap []*account

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].team < h[j].team
}

func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *accountHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	*h = old[:len(old)-1]
	a.index = -1
	return a
}
