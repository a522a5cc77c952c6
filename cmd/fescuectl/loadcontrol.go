package main

import (
	"runtime"
	"syscall"
	"time"

	"fescuebank"
	"fescuebank/internal/load/recorder"
	"fescuebank/internal/standin/deployer"
	"fescuebank/internal/standin/objectserver"
)

// controlCounts are what the control of a whole deployment has cost so far.
type controlCounts struct {
	peerRequests, peerBytes int64
	calls                   objectserver.Calls
	processor               time.Duration
	memory                  uint64
}

func takeControl(s *deployer.Deployer) controlCounts {
	c := controlCounts{calls: s.Platform.Calls()}
	for _, v := range s.Instances {
		totals := v.Totals()
		c.peerRequests += totals.PeerRequests
		c.peerBytes += totals.PeerBytes
	}
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		c.processor = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	c.memory = memory.HeapAlloc
	return c
}

// since is the cost per instance and second. Requests between instances are
// counted at both ends.
func (c controlCounts) since(before controlCounts, d time.Duration, instances int) recorder.ControlCost {
	per := 1 / d.Seconds() / float64(instances)
	return recorder.ControlCost{
		PeerRequests: float64(c.peerRequests-before.peerRequests) * per,
		PeerBytes:    float64(c.peerBytes-before.peerBytes) * per,
		StoreReads:   float64(c.calls.Reads-before.calls.Reads) * per,
		StoreWrites:  float64(c.calls.Writes-before.calls.Writes) * per,
		StoreWatches: float64(c.calls.Watches-before.calls.Watches) * per,
		Cores:        (c.processor - before.processor).Seconds() * per,
		HeapMiB:      float64(c.memory) / float64(fescuebank.MiB) / float64(instances),
	}
}

func generated(s *deployer.Deployer) int64 {
	total := int64(0)
	for _, e := range s.Engines {
		total += e.Totals().Generated
	}
	return total
}
