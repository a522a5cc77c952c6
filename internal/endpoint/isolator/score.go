package isolator

import (
	"slices"
	"time"

	"fescuebank"
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

var (
	requestPolicy = policy{free: 1}
	partPolicy    = policy{free: 2, distinct: true}
)

// policy states how a kind of key is judged.
type policy struct {
	// free is the score from which the key is suspect. Crashes under runs that are no trials
	// count up to that: they may all have been lost to one cause.
	free int
	// distinct is set if crashes under the same request count once.
	distinct bool
}

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

// isTrial reports whether a request was suspect itself, or because of one of its keys.
func isTrial(lost fescuebank.LostRequest, key fescuebank.SuspectKey) bool {
	return slices.Contains(lost.Trials, key) || slices.Contains(lost.Trials, lost.Keys[0])
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
