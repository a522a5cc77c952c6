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

// crash is the crash of one endpoint.
type crash struct {
	id fescuebank.CrashID
	at time.Time
	// requests are those under which the endpoint crashed before it had responded. own are
	// those of this instance.
	requests []fescuebank.LostRequest
	own      []fescuebank.LostRequest
}

// find returns the request with a key, if there are several one that was a trial.
func (c *crash) find(key fescuebank.SuspectKey) (lost fescuebank.LostRequest, ok bool) {
	for _, r := range c.requests {
		if slices.Contains(r.Keys, key) && (!ok || isTrial(r, key)) {
			lost, ok = r, true
		}
	}
	return lost, ok
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
	n := slices.IndexFunc(list, func(r fescuebank.LostRequest) bool { return slices.Equal(r.Keys, lost.Keys) })
	switch {
	case n >= 0 && len(list[n].Trials) < len(lost.Trials):
		list[n].Trials = lost.Trials
	case n < 0 && len(list) < maxRequests && len(lost.Keys) > 0:
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

// name returns the text of a key in the log and in the store.
func name(key fescuebank.SuspectKey) string {
	return strconv.FormatUint(uint64(key), 16)
}
