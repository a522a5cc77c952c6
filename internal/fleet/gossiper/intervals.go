package gossiper

import "time"

const (
	// The interval between two messages without a change is heartbeatIntervalPerPeer
	// for each peer, but at least minHeartbeatInterval.
	minHeartbeatInterval     = 250 * time.Millisecond
	heartbeatIntervalPerPeer = 5 * time.Millisecond
	// The interval between two messages of changes is updateIntervalPerPeer for each
	// peer, but at least minUpdateInterval.
	minUpdateInterval     = 15 * time.Millisecond
	updateIntervalPerPeer = 1500 * time.Microsecond
	// minSuspectTimeout is the minimum time without gossip from a peer after which the
	// peer is treated as silent.
	minSuspectTimeout = 900 * time.Millisecond
	// toleratedLosses is how many heartbeats in a row may be lost or late before a peer
	// is treated as silent.
	toleratedLosses = 3
	// reportsPerHeartbeat is the number of incarnations that one message reports on.
	reportsPerHeartbeat = 16
)

// intervals derives the intervals and timeouts of gossip from the number of peers. They
// grow with it, so that an instance sends a bounded number of messages per second however
// many peers it has. The value is the number of peers.
type intervals int

// heartbeat returns the maximum time between two messages to a peer.
func (i intervals) heartbeat() time.Duration {
	return max(minHeartbeatInterval, time.Duration(i)*heartbeatIntervalPerPeer)
}

// update returns the minimum time between two messages to a peer.
func (i intervals) update() time.Duration {
	return max(minUpdateInterval, time.Duration(i)*updateIntervalPerPeer)
}

// suspectTimeout returns how long a peer may send nothing before it is treated as silent.
func (i intervals) suspectTimeout() time.Duration {
	return max(minSuspectTimeout, (toleratedLosses+1)*i.heartbeat()*9/10)
}

// ackTimeout returns how long a peer may fail to acknowledge the messages of this instance
// before the connection to it is dropped. A peer acknowledges the incarnations in rotation,
// which takes several heartbeats in a large fleet.
func (i intervals) ackTimeout() time.Duration {
	rounds := (int(i) + reportsPerHeartbeat - 1) / reportsPerHeartbeat
	return i.suspectTimeout() + time.Duration(max(0, rounds-1))*i.heartbeat()
}
