package gossiper

import "time"

const (
	// leastBeat is the least time between two messages without a change, and
	// beatPerPeer what each peer adds to it.
	leastBeat   = 250 * time.Millisecond
	beatPerPeer = 5 * time.Millisecond
	// leastChange is the least time between two messages of a change, and
	// changePerPeer what each peer adds to it.
	leastChange   = 15 * time.Millisecond
	changePerPeer = 1500 * time.Microsecond
	// leastSuspect is the least time without news after which a peer is left out.
	leastSuspect = 900 * time.Millisecond
	// lostBeats is how many messages in a row may be lost or late before that.
	lostBeats = 3
	// heardPerBeat is of how many runs one message tells what was heard.
	heardPerBeat = 16
)

// pace is how often instances tell each other, by the number of peers that each of
// them has. An instance sends a bounded number of messages a second, however many
// peers there are.
type pace int

// beat is the longest time between two messages to a peer.
func (p pace) beat() time.Duration {
	return max(leastBeat, time.Duration(p)*beatPerPeer)
}

// change is the least time between two messages to a peer.
func (p pace) change() time.Duration {
	return max(leastChange, time.Duration(p)*changePerPeer)
}

// suspect is how long a peer may be silent before it is left out.
func (p pace) suspect() time.Duration {
	return max(leastSuspect, (lostBeats+1)*p.beat()*9/10)
}

// deaf is how long a peer may fail to confirm this instance's messages before the
// connection to it is made anew. Each run is told of in its turn.
func (p pace) deaf() time.Duration {
	rounds := (int(p) + heardPerBeat - 1) / heardPerBeat
	return p.suspect() + time.Duration(max(0, rounds-1))*p.beat()
}
