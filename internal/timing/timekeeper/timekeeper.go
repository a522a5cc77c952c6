// Package timekeeper provides the system clock.
package timekeeper

import "time"

// Timekeeper implements fescuebank.Clock with the system clock.
type Timekeeper struct{}

// Now returns the current time with its monotonic reading.
func (Timekeeper) Now() time.Time {
	return time.Now()
}

// After returns a channel that receives the time after d has passed.
func (Timekeeper) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}
