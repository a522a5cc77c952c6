package forwarder

import (
	"sync"
	"time"

	"fescuebank"
)

const (
	// initialHedgeDelay is the hedging delay of a service until a call to it has been
	// measured.
	initialHedgeDelay = time.Second
	// minHedgeDelay keeps calls to fast services from being hedged needlessly.
	minHedgeDelay = 20 * time.Millisecond
	// hedgeDelayFactor is the hedging delay as a multiple of the mean call time.
	hedgeDelayFactor = 3
	// smoothingDivisor divides the newest sample's deviation in the moving average.
	smoothingDivisor = 16
	// hedgeRatio is the part of a hedge that each response earns, and maxHedgeBalance the
	// limit of hedges saved up.
	hedgeRatio      = 0.05
	maxHedgeBalance = 10
)

// hedger decides when a repeatable call is sent a second time.
type hedger struct {
	mu sync.Mutex
	// meanTime is the moving average of call times by service.
	meanTime map[fescuebank.ServiceName]time.Duration
	balance  float64
}

func newHedger() *hedger {
	return &hedger{meanTime: make(map[fescuebank.ServiceName]time.Duration), balance: maxHedgeBalance}
}

// observe records the duration of a call.
func (h *hedger) observe(s fescuebank.ServiceName, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.balance = min(h.balance+hedgeRatio, maxHedgeBalance)
	if mean, ok := h.meanTime[s]; ok {
		h.meanTime[s] = mean + (d-mean)/smoothingDivisor
		return
	}
	h.meanTime[s] = d
}

// delay returns the time after which a call is hedged.
func (h *hedger) delay(s fescuebank.ServiceName) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	mean, ok := h.meanTime[s]
	if !ok {
		return initialHedgeDelay
	}
	return max(minHedgeDelay, hedgeDelayFactor*mean)
}

// withdraw takes one hedge from the budget and reports whether there was one.
func (h *hedger) withdraw() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.balance < 1 {
		return false
	}
	h.balance--
	return true
}
