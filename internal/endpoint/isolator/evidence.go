package isolator

import (
	"slices"
	"strconv"
	"time"

	"fescuebank"
)

const (
	// maxCrashes is the number of crashes that are remembered, and maxRequests that of the
	// requests of each one.
	maxCrashes  = 128
	maxRequests = 32
	// crashTTL is how long a crash is remembered.
	crashTTL = 10 * time.Minute
	// minCrashGap is the time from which two crashes count as two. Endpoints that crash at the
	// same moment have one cause in common, such as a loss of power.
	minCrashGap = 100 * time.Millisecond
)

// crash is the crash of one endpoint.
type crash struct {
	id fescuebank.CrashID
	at time.Time
	// requests are those under which the endpoint crashed before it had responded. own are
	// those of this instance.
	requests []fescuebank.SuspectKey
	own      []fescuebank.SuspectKey
}

// completion is the last time at which a key is known to have completed.
type completion struct {
	at time.Time
	// own is set if it completed at this instance.
	own bool
}

// evidence is what an instance knows of the crashes of endpoints.
type evidence struct {
	// crashes are in the order in which they became known.
	crashes []*crash
	// completed has entries only for keys that crashes name or that are quarantined.
	completed map[fescuebank.SuspectKey]completion
}

func newEvidence() evidence {
	return evidence{completed: make(map[fescuebank.SuspectKey]completion)}
}

// add records that an endpoint crashed under a request, and reports whether that was not known.
// Crashes of the same id are one.
func (e *evidence) add(id fescuebank.CrashID, at time.Time, own bool, key fescuebank.SuspectKey) bool {
	c := e.find(id)
	if c == nil {
		e.expire(at)
		c = &crash{id: id, at: at}
		e.crashes = append(e.crashes, c)
	}
	isNew := !slices.Contains(c.requests, key) && len(c.requests) < maxRequests
	if isNew {
		c.requests = append(c.requests, key)
	}
	if own && !slices.Contains(c.own, key) && len(c.own) < maxRequests {
		c.own = append(c.own, key)
	}
	return isNew
}

func (e *evidence) find(id fescuebank.CrashID) *crash {
	for _, c := range e.crashes {
		if c.id == id {
			return c
		}
	}
	return nil
}

// expire drops the crashes that are older than crashTTL, and the oldest one if there are too
// many, with the completions of keys that no crash names any longer.
func (e *evidence) expire(now time.Time) {
	count := len(e.crashes)
	e.crashes = slices.DeleteFunc(e.crashes, func(c *crash) bool { return now.Sub(c.at) >= crashTTL })
	if len(e.crashes) >= maxCrashes {
		e.crashes = slices.Delete(e.crashes, 0, 1)
	}
	if len(e.crashes) == count {
		return
	}
	for key := range e.completed {
		if !e.names(key) {
			delete(e.completed, key)
		}
	}
}

// names reports whether a crash names the key.
func (e *evidence) names(key fescuebank.SuspectKey) bool {
	return slices.ContainsFunc(e.crashes, func(c *crash) bool { return slices.Contains(c.requests, key) })
}

// witnessed reports whether a crash under a request of this instance names the key.
func (e *evidence) witnessed(key fescuebank.SuspectKey) bool {
	return slices.ContainsFunc(e.crashes, func(c *crash) bool { return slices.Contains(c.own, key) })
}

// complete records that a key completed.
func (e *evidence) complete(key fescuebank.SuspectKey, at time.Time, own bool) {
	last := e.completed[key]
	if at.After(last.at) {
		e.completed[key] = completion{at: at, own: own}
	}
}

// count returns the number of crashes under a key since it last completed.
func (e *evidence) count(key fescuebank.SuspectKey) int {
	return e.countSince(key, time.Time{})
}

// countSince is count for the crashes after a time.
func (e *evidence) countSince(key fescuebank.SuspectKey, since time.Time) int {
	since = fescuebank.Latest(since, e.completed[key].at)
	var times []time.Time
	for _, c := range e.crashes {
		if c.at.After(since) && slices.Contains(c.requests, key) {
			times = append(times, c.at)
		}
	}
	return countApart(times)
}

// countApart returns the number of times that are at least minCrashGap after the previous one
// that counts.
func countApart(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	count := 0
	var last time.Time
	for _, at := range times {
		if count == 0 || at.Sub(last) >= minCrashGap {
			count, last = count+1, at
		}
	}
	return count
}

// name returns the text of a key in the log and in the store.
func name(key fescuebank.SuspectKey) string {
	return strconv.FormatUint(uint64(key), 16)
}
