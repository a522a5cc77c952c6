package relayer

import (
	"sync"
	"time"

	"fescuebank"
)

// headPatience is how long an endpoint may take to begin its answer, as a multiple of
// the route's objective, until that counts as a failure. The request goes on.
const headPatience = 4

// verdict tells once how an endpoint served an attempt. A refusal that did not run the
// request is no failure: it goes on elsewhere at once.
type verdict struct {
	health Health
	id     fescuebank.EndpointID
	once   sync.Once
}

func (v *verdict) note(good bool) {
	v.once.Do(func() { v.health.Record(v.id, good) })
}

// watchHead notes a failure if no answer begins in time, until stop is called.
func (f *flight) watchHead(v *verdict) (stop func()) {
	timer := time.AfterFunc(headPatience*f.objective(), func() { v.note(false) })
	return func() { timer.Stop() }
}
