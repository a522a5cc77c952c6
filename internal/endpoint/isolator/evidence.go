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
)

// The score of a request sums what the crashes under it since it last completed weigh. Sound
// requests are there by chance, most often beside the one that crashed the endpoint.
const (
	// ambiguousWeight is the weight of the first crash, which makes the request suspect, and of a
	// crash under a trial while the endpoint had other requests that had not begun. Further
	// crashes under runs that are no trials weigh nothing: these began before the first one was
	// known, and may all have been lost to one cause.
	ambiguousWeight = 1
	// soleWeight is the weight of a crash under a trial that was the only such request.
	soleWeight = 2
	// scoreThreshold is the score from which a request is quarantined, and repeatedThreshold
	// that of a request that was quarantined before.
	scoreThreshold    = 3
	repeatedThreshold = 2
)

// crash is the crash of one endpoint.
type crash struct {
	id fescuebank.CrashID
	at time.Time
	// requests are those under which the endpoint crashed before it had responded. own are
	// those of this instance.
	requests []fescuebank.LostRequest
	own      []fescuebank.LostRequest
}

// find returns the request with a key.
func (c *crash) find(key fescuebank.SuspectKey) (lost fescuebank.LostRequest, ok bool) {
	n := slices.IndexFunc(c.requests, func(r fescuebank.LostRequest) bool { return r.Key == key })
	if n < 0 {
		return fescuebank.LostRequest{}, false
	}
	return c.requests[n], true
}

// weight returns what the crash weighs for a request that was lost in it.
func (c *crash) weight(lost fescuebank.LostRequest, isFirst bool) int {
	switch {
	case lost.Trial && len(c.requests) == 1:
		return soleWeight
	case lost.Trial || isFirst:
		return ambiguousWeight
	}
	return 0
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
	// completed has entries for keys that crashes name or that were quarantined.
	completed map[fescuebank.SuspectKey]completion
}

func newEvidence() evidence {
	return evidence{completed: make(map[fescuebank.SuspectKey]completion)}
}

// add records that an endpoint crashed under a request. Crashes of the same id are one.
func (e *evidence) add(id fescuebank.CrashID, at time.Time, own bool, lost fescuebank.LostRequest) {
	n := slices.IndexFunc(e.crashes, func(c *crash) bool { return c.id == id })
	if n < 0 {
		e.expire(at)
		n = len(e.crashes)
		e.crashes = append(e.crashes, &crash{id: id, at: at})
	}
	c := e.crashes[n]
	c.requests = addLost(c.requests, lost)
	if own {
		c.own = addLost(c.own, lost)
	}
}

// addLost adds a request to those of a crash.
func addLost(list []fescuebank.LostRequest, lost fescuebank.LostRequest) []fescuebank.LostRequest {
	n := slices.IndexFunc(list, func(r fescuebank.LostRequest) bool { return r.Key == lost.Key })
	switch {
	case n >= 0:
		list[n].Trial = list[n].Trial || lost.Trial
	case len(list) < maxRequests:
		list = append(list, lost)
	}
	return list
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
	return slices.ContainsFunc(e.crashes, func(c *crash) bool {
		_, ok := c.find(key)
		return ok
	})
}

// complete records that a key completed.
func (e *evidence) complete(key fescuebank.SuspectKey, at time.Time, own bool) {
	if at.After(e.completed[key].at) {
		e.completed[key] = completion{at: at, own: own}
	}
}

// isSuspect reports whether an endpoint crashed under the key since it last completed.
func (e *evidence) isSuspect(key fescuebank.SuspectKey) bool {
	return slices.ContainsFunc(e.crashes, func(c *crash) bool {
		_, ok := c.find(key)
		return ok && c.at.After(e.completed[key].at)
	})
}

// score returns the score of a key by the crashes after a time. Crashes under other requests that
// are known to crash endpoints don't count.
func (e *evidence) score(key fescuebank.SuspectKey, since time.Time, isKnown func(fescuebank.SuspectKey) bool) int {
	since = fescuebank.Latest(since, e.completed[key].at)
	score := 0
	for _, c := range e.crashes {
		lost, ok := c.find(key)
		isExplained := slices.ContainsFunc(c.requests, func(r fescuebank.LostRequest) bool { return r.Key != key && isKnown(r.Key) })
		if ok && c.at.After(since) && !isExplained {
			score += c.weight(lost, score == 0)
		}
	}
	return score
}

// name returns the text of a key in the log and in the store.
func name(key fescuebank.SuspectKey) string {
	return strconv.FormatUint(uint64(key), 16)
}
