// Package checker checks how a deployment treats requests that crash endpoints, and sound ones
// that resemble them.
package checker

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"fescuebank"
	"fescuebank/internal/soak/monitor"
)

const (
	// maxLater is how many requests may reach endpoints later than the contact time after the
	// last crash that a cause is allowed.
	maxLater = 3
	// minSound is the number of sound requests of either kind from which their shares are
	// compared.
	minSound = 20
)

// Cause is what crashes endpoints.
type Cause struct {
	Name string
	// Crashes is the number of crashes after which the deployment must know the cause.
	Crashes int
}

// Checker records requests and crashes, and reports the guarantees that they violate. Only
// requests sent to instances that were not disturbed for the contact time count.
type Checker struct {
	contact time.Duration
	monitor *monitor.Monitor

	mu       sync.Mutex
	requests map[fescuebank.RequestID]request
	causes   map[Cause]*history
	// like are the sound requests that resemble those of a cause, others all other ones.
	like   []sound
	others []sound
}

// request is a request that crashes endpoints.
type request struct {
	cause    Cause
	instance string
}

// history is what happened because of one cause.
type history struct {
	sent, crashes []time.Time
	reached       []arrival
}

// arrival is a request that reached an endpoint.
type arrival struct {
	instance string
	at       time.Time
}

// sound is a request that crashes no endpoint.
type sound struct {
	cause    Cause
	instance string
	at       time.Time
	begun    bool
}

// New returns a checker without requests.
func New(contact time.Duration, m *monitor.Monitor) *Checker {
	return &Checker{contact: contact, monitor: m, requests: make(map[fescuebank.RequestID]request), causes: make(map[Cause]*history)}
}

// RecordSent records that a caller sends a request that crashes endpoints to an instance.
func (c *Checker) RecordSent(id fescuebank.RequestID, cause Cause, instance string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = request{cause: cause, instance: instance}
	if c.causes[cause] == nil {
		c.causes[cause] = &history{}
	}
	c.causes[cause].sent = append(c.causes[cause].sent, at)
}

// RecordReached records that a request reached an endpoint, and reports whether it is one that
// crashes endpoints.
func (c *Checker) RecordReached(id fescuebank.RequestID, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.requests[id]
	if ok {
		h := c.causes[r.cause]
		h.reached = append(h.reached, arrival{instance: r.instance, at: at})
	}
	return ok
}

// RecordCrash records that an endpoint crashes under a request.
func (c *Checker) RecordCrash(id fescuebank.RequestID, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.requests[id]; ok {
		h := c.causes[r.cause]
		h.crashes = append(h.crashes, at)
	}
}

// RecordSound records whether a sound request began at its caller's first attempt. It resembles
// the requests of the cause, if that is not nil.
func (c *Checker) RecordSound(cause *Cause, instance string, at time.Time, begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cause == nil {
		c.others = append(c.others, sound{instance: instance, at: at, begun: begun})
		return
	}
	c.like = append(c.like, sound{cause: *cause, instance: instance, at: at, begun: begun})
}

// Crashes returns the number of causes and of crashes under their requests.
func (c *Checker) Crashes() (causes, crashes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.causes {
		crashes += len(h.crashes)
	}
	return len(c.causes), crashes
}

// Violations returns a description of each violation among the events recorded so far.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var violations []string
	for cause, h := range c.causes {
		if later := c.later(cause, h); later > maxLater {
			violations = append(violations, fmt.Sprintf("%s: %d requests reached endpoints later than %v after the crash of the %dth of %d, want at most %d",
				cause.Name, later, c.contact, cause.Crashes, len(h.crashes), maxLater))
		}
	}
	like, others := c.share(c.like, c.isDue), c.share(c.others, func(sound) bool { return true })
	if like.count >= minSound && others.count >= minSound && like.value() < others.value()/2 {
		violations = append(violations, fmt.Sprintf("sound requests like those that crash endpoints: %d of %d begin, want half the share of the %d of %d others",
			like.begun, like.count, others.begun, others.count))
	}
	slices.Sort(violations)
	return violations
}

// later returns how many requests of a cause reached endpoints too late.
func (c *Checker) later(cause Cause, h *history) int {
	if len(h.crashes) < cause.Crashes {
		return 0
	}
	crashes := slices.SortedFunc(slices.Values(h.crashes), time.Time.Compare)
	known := crashes[cause.Crashes-1].Add(c.contact)
	count := 0
	for _, a := range h.reached {
		if a.at.After(known) && c.inTouch(a.instance, a.at) {
			count++
		}
	}
	return count
}

// isDue reports whether a sound request was sent when the deployment had to know the cause of
// those that it resembles, while such requests still came.
func (c *Checker) isDue(s sound) bool {
	h := c.causes[s.cause]
	if h == nil || len(h.crashes) == 0 {
		return false
	}
	crashes := slices.SortedFunc(slices.Values(h.crashes), time.Time.Compare)
	known := crashes[min(len(crashes), settledCrashes)-1].Add(2 * c.contact)
	last := slices.MaxFunc(h.sent, time.Time.Compare)
	return s.at.After(known) && s.at.Before(last)
}

// settledCrashes is the number of crashes after which sound requests must be served again.
const settledCrashes = 5

// inTouch reports whether an instance was not disturbed for the contact time before at.
func (c *Checker) inTouch(instance string, at time.Time) bool {
	return !c.monitor.IsDisturbed(instance, at.Add(-c.contact), at)
}

// share counts requests and those of them that began.
type share struct {
	count, begun int
}

// value returns the share of the requests that began.
func (s share) value() float64 {
	return float64(s.begun) / float64(max(1, s.count))
}

// share counts the requests that are relevant and were sent to instances in touch.
func (c *Checker) share(list []sound, isRelevant func(sound) bool) share {
	var s share
	for _, r := range list {
		if !isRelevant(r) || !c.inTouch(r.instance, r.at) {
			continue
		}
		s.count++
		if r.begun {
			s.begun++
		}
	}
	return s
}
