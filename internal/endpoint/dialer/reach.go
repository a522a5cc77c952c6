package dialer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// checkedEndpoints is the number of endpoints that a check connects to, and checkTimeout bounds
	// it. All of them must fail for this instance to have lost the endpoints.
	checkedEndpoints = 8
	checkTimeout     = 200 * time.Millisecond
	// minFailed is the number of endpoints that must have failed for a check, and failureTime how
	// long a failure counts.
	minFailed   = 2
	failureTime = 2 * time.Second
	// minCheckInterval is the minimum time between the starts of two checks.
	minCheckInterval = 400 * time.Millisecond
	// returnInterval is the interval of the checks of an instance that has lost the endpoints.
	returnInterval = 300 * time.Millisecond
)

// reachState is what is known of whether this instance reaches the endpoints.
type reachState struct {
	// failed holds when direct attempts failed, by the address, since the last one that succeeded.
	failed map[string]time.Time
	// checkedAt is when the last check began; checking is set while one runs.
	checkedAt time.Time
	checking  bool
	// lost is set while this instance reaches no endpoint.
	lost bool
}

// Lost reports whether this instance reaches no endpoint.
func (d *Dialer) Lost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.lost
}

// Doubtful reports whether failures at endpoints may be due to this instance: it has lost the
// endpoints, or several of them failed and none has been reached since.
func (d *Dialer) Doubtful() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.lost || d.state.checking || d.recentFailures(d.Clock.Now()) >= minFailed
}

// Relayed returns the number of connections made through other instances.
func (d *Dialer) Relayed() int64 {
	return d.relayed.Load()
}

// recentFailures counts the endpoints that failed within failureTime. The caller holds the lock.
func (d *Dialer) recentFailures(now time.Time) int {
	for addr, at := range d.state.failed {
		if now.Sub(at) >= failureTime {
			delete(d.state.failed, addr)
		}
	}
	return len(d.state.failed)
}

func (d *Dialer) recordReached() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.state.failed)
}

// recordFailure records that an endpoint couldn't be connected to directly, and starts a check after
// several such failures.
func (d *Dialer) recordFailure(addr string) {
	d.mu.Lock()
	now := d.Clock.Now()
	d.state.failed[addr] = now
	suspicious := d.recentFailures(now) >= minFailed
	d.mu.Unlock()
	if suspicious {
		d.startCheck()
	}
}

// startCheck finds out in the background whether this instance reaches endpoints, unless it has
// begun to lately or knows that it doesn't.
func (d *Dialer) startCheck() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	if d.state.lost || d.state.checking || now.Sub(d.state.checkedAt) < minCheckInterval {
		return
	}
	d.state.checking, d.state.checkedAt = true, now
	go d.check()
}

// check decides whether this instance has lost the endpoints, and if so, waits until it reaches them
// again.
func (d *Dialer) check() {
	lost := !d.reachesAny()
	d.mu.Lock()
	d.state.checking, d.state.lost = false, lost
	if !lost {
		clear(d.state.failed)
	}
	d.mu.Unlock()
	if lost {
		d.Log.Warn("No endpoint can be reached from this instance.", "relays", len(d.Relays()))
		d.OnChange(true)
		d.awaitReturn()
	}
}

// awaitReturn waits until this instance reaches endpoints again.
func (d *Dialer) awaitReturn() {
	since := d.Clock.Now()
	for {
		<-d.Clock.After(returnInterval)
		if d.reachesAny() {
			break
		}
	}
	d.mu.Lock()
	d.state.lost = false
	clear(d.state.failed)
	d.mu.Unlock()
	d.Log.Info("Endpoints can be reached from this instance again.", "lostMs", d.Clock.Now().Sub(since).Milliseconds(), "relayedConnections", d.Relayed())
	d.OnChange(false)
}

// reachesAny reports whether this instance can connect to any of some random endpoints.
func (d *Dialer) reachesAny() bool {
	list := d.Endpoints()
	if len(list) == 0 {
		return true
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	reached := false
	for _, e := range list[:min(len(list), checkedEndpoints)] {
		group.Go(func() {
			c, err := d.Connect(ctx, e.Addr)
			if err != nil {
				return
			}
			_ = c.Close()
			mu.Lock()
			reached = true
			mu.Unlock()
			cancel()
		})
	}
	group.Wait()
	return reached
}
