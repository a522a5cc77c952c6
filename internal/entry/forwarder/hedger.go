package forwarder

import (
	"sync"
	"time"

	"fescuebank"
)

const (
	// firstDelay is when a call counts as late before any was measured.
	firstDelay = time.Second
	// leastDelay keeps quick services from being called twice for nothing.
	leastDelay = 20 * time.Millisecond
	// lateFactor is how many times the usual time makes a call late.
	lateFactor = 3
	// smoothing is the weight of older times in the usual one.
	smoothing = 16
	// hedgeShare is the share of answers that may be asked for twice, and
	// hedgeReserve what may be asked for twice at once.
	hedgeShare   = 0.05
	hedgeReserve = 10
)

// hedger decides when a repeatable call is made a second time.
type hedger struct {
	mu sync.Mutex
	// usual is the smoothed time of a call by service.
	usual map[fescuebank.ServiceName]time.Duration
	left  float64
}

func newHedger() *hedger {
	return &hedger{usual: make(map[fescuebank.ServiceName]time.Duration), left: hedgeReserve}
}

// observe takes in how long a call took.
func (h *hedger) observe(s fescuebank.ServiceName, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.left = min(h.left+hedgeShare, hedgeReserve)
	if usual, ok := h.usual[s]; ok {
		h.usual[s] = usual + (d-usual)/smoothing
		return
	}
	h.usual[s] = d
}

// delay returns when a call counts as late.
func (h *hedger) delay(s fescuebank.ServiceName) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	usual, ok := h.usual[s]
	if !ok {
		return firstDelay
	}
	return max(leastDelay, lateFactor*usual)
}

// spend reports whether one more call may be made twice.
func (h *hedger) spend() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.left < 1 {
		return false
	}
	h.left--
	return true
}
