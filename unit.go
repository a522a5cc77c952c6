package fescuebank

import (
	"fmt"
	"time"
)

// Tokens counts model tokens, both of prompts and generated.
type Tokens int64

// Requests counts requests against a rate. It may be fractional while tokens accrue.
type Requests float64

// RequestRate is a number of requests per second.
type RequestRate float64

// MaxRequestRate bounds a rate that an endpoint, another instance or the configuration states. No instance sends as much.
const MaxRequestRate = RequestRate(1e6)

// Bytes counts bytes.
type Bytes int64

// Sizes in bytes.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
)

// Over returns the number of requests that the rate allows in d.
func (r RequestRate) Over(d time.Duration) Requests {
	return Requests(float64(r) * d.Seconds())
}

// TimeFor returns how long it takes until the rate has allowed n requests, and false
// if it never does.
func (r RequestRate) TimeFor(n Requests) (time.Duration, bool) {
	if r <= 0 {
		return 0, false
	}
	return time.Duration(float64(n) / float64(r) * float64(time.Second)), true
}

func (b Bytes) String() string {
	if b >= MiB && b%MiB == 0 {
		return fmt.Sprintf("%d MiB", int64(b/MiB))
	}
	return fmt.Sprintf("%d B", int64(b))
}
