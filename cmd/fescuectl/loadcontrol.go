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

// controlCounts are the cumulative control traffic and resource use of a
// deployment.
type controlCounts struct {
	peerRequests, peerBytes int64
	calls                   objectserver.Calls
	cpuTime                 time.Duration
	heapBytes               uint64
}

func readControlCounts(s *deployer.Deployer) controlCounts {
	c := controlCounts{calls: s.Platform.Calls()}
	for _, v := range s.Instances {
		totals := v.Totals()
		c.peerRequests += totals.PeerRequests
		c.peerBytes += totals.PeerBytes
	}
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		c.cpuTime = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	c.heapBytes = memory.HeapAlloc
	return c
}

// costSince returns the cost per instance and second. Requests between instances
// count twice, at the sender and at the receiver.
func (c controlCounts) costSince(before controlCounts, d time.Duration, instances int) recorder.ControlCost {
	perInstanceSecond := 1 / d.Seconds() / float64(instances)
	return recorder.ControlCost{
		PeerRequests: float64(c.peerRequests-before.peerRequests) * perInstanceSecond,
		PeerBytes:    float64(c.peerBytes-before.peerBytes) * perInstanceSecond,
		StoreReads:   float64(c.calls.Reads-before.calls.Reads) * perInstanceSecond,
		StoreWrites:  float64(c.calls.Writes-before.calls.Writes) * perInstanceSecond,
		StoreWatches: float64(c.calls.Watches-before.calls.Watches) * perInstanceSecond,
		Cores:        (c.cpuTime - before.cpuTime).Seconds() * perInstanceSecond,
		HeapMiB:      float64(c.heapBytes) / float64(fescuebank.MiB) / float64(instances),
	}
}

func generatedTokens(s *deployer.Deployer) int64 {
	total := int64(0)
	for _, e := range s.Engines {
		total += e.Totals().Generated
	}
	return total
}
