package resumer

import (
	"context"
	"time"

	"fescuebank"
)

const (
	// askedAtOnce is the number of instances that are asked for a record at a time.
	askedAtOnce = 6
	// askTimeout bounds the wait for one instance.
	askTimeout = 150 * time.Millisecond
	// findTimeout bounds the wait for all instances.
	findTimeout = 2 * askTimeout
)

// Find returns the version at which the stream of a request began. It asks other instances
// if none is stored here. It returns false if no record is found in time.
func (r *Resumer) Find(ctx context.Context, id fescuebank.RequestID) (version string, ok bool) {
	if !isValid(fescuebank.StreamRecord{ID: id}) {
		return "", false
	}
	if recorded, ok := r.known(id); ok {
		return recorded.version, !recorded.conflicting
	}
	order := rank(candidates(r.Members.Peers(), toAsk, askCandidates), string(id))
	reply := r.askInOrder(ctx, order, id)
	if !reply.Found || reply.Conflicting {
		r.Log.Info("Version of a stream not found.", "request", string(id), "members", len(order))
		return "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.add(r.Clock.Now(), fescuebank.StreamRecord{ID: id, Version: reply.Version})
	return reply.Version, true
}

// FindSole is Find for an id under which several streams may be recorded. As a record here may
// not be the only one, it asks the other instances in any case. It returns false if they know
// different versions.
func (r *Resumer) FindSole(ctx context.Context, id fescuebank.RequestID) (version string, ok bool) {
	if !isValid(fescuebank.StreamRecord{ID: id}) {
		return "", false
	}
	members := candidates(r.Members.Peers(), toAsk, askCandidates)
	replies := make(chan fescuebank.FindStreamReply, len(members))
	for _, m := range members {
		go func() { replies <- r.ask(ctx, m.addr, id) }()
	}
	recorded, isRecorded := r.known(id)
	found := fescuebank.FindStreamReply{Found: isRecorded, Version: recorded.version, Conflicting: recorded.conflicting}
	for range members {
		found = merge(found, <-replies)
	}
	return found.Version, found.Found && !found.Conflicting
}

// merge combines what two instances know of an id.
func merge(x, y fescuebank.FindStreamReply) fescuebank.FindStreamReply {
	switch {
	case !x.Found:
		return y
	case y.Found && (y.Conflicting || y.Version != x.Version):
		return fescuebank.FindStreamReply{Found: true, Conflicting: true}
	}
	return x
}

// askInOrder asks members for a record, askedAtOnce of them at a time, until one has it. Each
// one that doesn't is followed by the next.
func (r *Resumer) askInOrder(ctx context.Context, order []member, id fescuebank.RequestID) fescuebank.FindStreamReply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan fescuebank.FindStreamReply, len(order))
	asked := min(len(order), askedAtOnce)
	for _, m := range order[:asked] {
		go func() { replies <- r.ask(ctx, m.addr, id) }()
	}
	timeout := r.Clock.After(findTimeout)
	for answered := 0; answered < asked; answered++ {
		select {
		case reply := <-replies:
			if reply.Found {
				return reply
			}
		case <-timeout:
			return fescuebank.FindStreamReply{}
		case <-ctx.Done():
			return fescuebank.FindStreamReply{}
		}
		if asked < len(order) {
			next := order[asked]
			asked++
			go func() { replies <- r.ask(ctx, next.addr, id) }()
		}
	}
	return fescuebank.FindStreamReply{}
}

// ask returns the reply of one instance, or a negative one if it doesn't reply in time.
func (r *Resumer) ask(ctx context.Context, addr string, id fescuebank.RequestID) fescuebank.FindStreamReply {
	// A call that is cancelled leaves the connection open, one that reaches its deadline may
	// close it; askTimeout is too short to conclude that the connection is dead.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan fescuebank.FindStreamReply, 1)
	go func() { replies <- r.callFind(ctx, addr, id) }()
	select {
	case reply := <-replies:
		return reply
	case <-r.Clock.After(askTimeout):
		return fescuebank.FindStreamReply{}
	}
}

func (r *Resumer) callFind(ctx context.Context, addr string, id fescuebank.RequestID) fescuebank.FindStreamReply {
	var reply fescuebank.FindStreamReply
	err := r.Peer.Call(ctx, addr, fescuebank.KindFindStream, &fescuebank.FindStreamRequest{ID: id}, &reply)
	if err != nil || len(reply.Version) > maxVersionBytes {
		return fescuebank.FindStreamReply{}
	}
	return reply
}
