// Package monitor records when the parts of a deployment were disturbed.
package monitor

import (
	"sync"
	"time"
)

// Monitor holds the disturbances of instances and endpoints, by their names.
type Monitor struct {
	mu           sync.Mutex
	disturbances map[string][]*disturbance
}

// disturbance is an interval in which an instance or endpoint may fail. Its end is zero while it
// lasts.
type disturbance struct {
	begin, end time.Time
}

// New returns a monitor without disturbances.
func New() *Monitor {
	return &Monitor{disturbances: make(map[string][]*disturbance)}
}

// Disturb records that a disturbance of an instance or endpoint begins. The function that it
// returns records its end.
func (m *Monitor) Disturb(name string, at time.Time) (end func(at time.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := &disturbance{begin: at}
	m.disturbances[name] = append(m.disturbances[name], d)
	return func(at time.Time) {
		m.mu.Lock()
		defer m.mu.Unlock()
		d.end = at
	}
}

// IsDisturbed reports whether a disturbance overlaps the interval.
func (m *Monitor) IsDisturbed(name string, from, to time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, d := range m.disturbances[name] {
		if !d.begin.After(to) && (d.end.IsZero() || !d.end.Before(from)) {
			return true
		}
	}
	return false
}
