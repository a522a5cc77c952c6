package gossiper

import "time"

const (
	// The interval between two messages without a change is heartbeatIntervalPerMember for
	// each member and heartbeatIntervalPerPeer for each peer sent to, whichever is longer,
	// but at least minHeartbeatInterval.
	minHeartbeatInterval       = 250 * time.Millisecond
	heartbeatIntervalPerMember = 2500 * time.Microsecond
	heartbeatIntervalPerPeer   = 5 * time.Millisecond
	// The interval between two messages of changes is updateIntervalPerPeer for each
	// peer sent to, but at least minUpdateInterval.
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

// intervals derives the intervals and timeouts of gossip from the size of the fleet. They
// grow with it, so that an instance sends a bounded number of messages per second however
// many peers it has.
type intervals struct {
	// members is the number of other instances.
	members int
	// fanout is the number of peers that a relay sends to; without relays, every instance
	// sends to that many.
	fanout int
	// relayed is set if gossip passes through relays.
	relayed bool
}

// heartbeat returns the maximum time between two messages to a peer.
func (i intervals) heartbeat() time.Duration {
	return max(minHeartbeatInterval, time.Duration(i.members)*heartbeatIntervalPerMember, time.Duration(i.fanout)*heartbeatIntervalPerPeer)
}

// update returns the minimum time between two messages to a peer.
func (i intervals) update() time.Duration {
	return max(minUpdateInterval, time.Duration(i.fanout)*updateIntervalPerPeer)
}

// lag returns the maximum age of the counts in a message when it arrives: relayed ones wait
// for the next messages of their sender and of the relays in both zones.
func (i intervals) lag() time.Duration {
	if i.relayed {
		return 3 * i.update()
	}
	return i.update()
}

// suspectTimeout returns how long a peer may send nothing before it is treated as silent.
func (i intervals) suspectTimeout() time.Duration {
	return max(minSuspectTimeout, (toleratedLosses+1)*i.heartbeat()*9/10)
}

// relayTimeout returns how long a relay may send nothing before another one takes its place.
// It is short enough for the change to be made before the instances whose gossip the relay
// passed on count as silent. A relay sends far more often than once per heartbeat.
func (i intervals) relayTimeout() time.Duration {
	return i.heartbeat() + i.lag()
}

// ackTimeout returns how long a peer may fail to acknowledge the messages of this instance
// before the connection to it is dropped. A peer acknowledges the incarnations in rotation,
// which takes several heartbeats in a large fleet.
func (i intervals) ackTimeout() time.Duration {
	rounds := (i.fanout + reportsPerHeartbeat - 1) / reportsPerHeartbeat
	return i.suspectTimeout() + time.Duration(max(0, rounds-1))*i.heartbeat()
}
