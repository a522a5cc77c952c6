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

// The score of a key sums what the crashes under it since it last completed weigh. Sound requests
// are there by chance, most often beside the one that crashed the endpoint.
const (
	// freeWeight is the weight of a crash under a run that was no trial, and ambiguousWeight that
	// of one under a trial while the endpoint had requests without the key that had not begun.
	freeWeight      = 1
	ambiguousWeight = 1
	// soleWeight is the weight of a crash under a trial while all such requests had the key.
	soleWeight = 2
	// repeatedThreshold is the score from which a key is quarantined again.
	repeatedThreshold = 2
)

// policy states how a kind of key is judged.
type policy struct {
	// free is the score from which the key is suspect. Crashes under runs that are no trials
	// count up to that: they may all have been lost to one cause.
	free int
	// distinct is set if crashes under the same request count once.
	distinct bool
}

var (
	requestPolicy = policy{free: 1}
	partPolicy    = policy{free: 2, distinct: true}
)

// policyOf returns the policy of the key with an index among those of a request.
func policyOf(index int) policy {
	if index == 0 {
		return requestPolicy
	}
	return partPolicy
}

// threshold returns the score from which a key is quarantined, which takes a trial.
func (p policy) threshold() int {
	return p.free + soleWeight
}

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

// isTrial reports whether a request was suspect itself, or because of one of its keys.
func isTrial(lost fescuebank.LostRequest, key fescuebank.SuspectKey) bool {
	return slices.Contains(lost.Trials, key) || slices.Contains(lost.Trials, lost.Keys[0])
}

// weight is what a crash weighs.
type weight struct {
	value   int
	isTrial bool
}

// weight returns what the crash weighs for a key of a request lost in it.
func (c *crash) weight(lost fescuebank.LostRequest, key fescuebank.SuspectKey) weight {
	switch {
	case !isTrial(lost, key):
		return weight{value: freeWeight}
	case slices.ContainsFunc(c.requests, func(r fescuebank.LostRequest) bool { return !slices.Contains(r.Keys, key) }):
		return weight{value: ambiguousWeight, isTrial: true}
	}
	return weight{value: soleWeight, isTrial: true}
}

// tally sums weights.
type tally struct {
	free, trials int
	// heaviest are the weights by request, if only the heaviest of each one counts.
	heaviest map[fescuebank.SuspectKey]weight
}

// add adds the weight of a crash under a request. With distinct set it replaces a lighter one of the
// same request.
func (t *tally) add(request fescuebank.SuspectKey, w weight, distinct bool) {
	if distinct {
		last, known := t.heaviest[request]
		if known && (last.isTrial && !w.isTrial || last.isTrial == w.isTrial && last.value >= w.value) {
			return
		}
		if t.heaviest == nil {
			t.heaviest = make(map[fescuebank.SuspectKey]weight)
		}
		t.sum(last, -1)
		t.heaviest[request] = w
	}
	t.sum(w, 1)
}

func (t *tally) sum(w weight, sign int) {
	if w.isTrial {
		t.trials += sign * w.value
	} else {
		t.free += sign * w.value
	}
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

// score returns the score of a key by the crashes after a time. Crashes that explains attributes to
// something else don't count.
func (e *evidence) score(key fescuebank.SuspectKey, p policy, since time.Time, explains func(fescuebank.LostRequest, fescuebank.SuspectKey) bool) int {
	since = fescuebank.Latest(since, e.completed[key].at)
	var t tally
	for _, c := range e.crashes {
		lost, ok := c.find(key)
		if !ok || !c.at.After(since) {
			continue
		}
		if slices.ContainsFunc(c.requests, func(r fescuebank.LostRequest) bool { return explains(r, key) }) {
			continue
		}
		t.add(lost.Keys[0], c.weight(lost, key), p.distinct)
	}
	return min(t.free, p.free) + t.trials
}

// rivalScore returns the highest score of a key of those requests in a crash that don't have the key.
func (e *evidence) rivalScore(id fescuebank.CrashID, key fescuebank.SuspectKey, explains func(fescuebank.LostRequest, fescuebank.SuspectKey) bool) int {
	highest := 0
	for _, c := range e.crashes {
		if c.id != id {
			continue
		}
		for _, r := range c.requests {
			if slices.Contains(r.Keys, key) {
				continue
			}
			for n, rival := range r.Keys {
				highest = max(highest, e.score(rival, policyOf(n), time.Time{}, explains))
			}
		}
	}
	return highest
}

// name returns the text of a key in the log and in the store.
func name(key fescuebank.SuspectKey) string {
	return strconv.FormatUint(uint64(key), 16)
}
