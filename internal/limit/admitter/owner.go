package admitter

import (
	"context"
	"time"

	"fescuebank"
	"fescuebank/internal/limit/granter"
)

// Handle answers a TokenRequest of another instance.
func (a *Admitter) Handle(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.TokenRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	reply := a.respond(&request)
	return &reply, nil
}

func (a *Admitter) respond(request *fescuebank.TokenRequest) fescuebank.TokenReply {
	var reply fescuebank.TokenReply
	for _, r := range request.Shards {
		if int(r.Shard) < len(a.shards) {
			reply.Shards = append(reply.Shards, a.grant(&a.shards[r.Shard], request.From, r))
		}
	}
	return reply
}

// grant answers the request for one shard if this instance may act as its owner.
func (a *Admitter) grant(s *shard, from fescuebank.Holder, r fescuebank.ShardTokenRequest) fescuebank.ShardTokenReply {
	now := a.lock(s)
	defer s.mu.Unlock()
	if !a.syncGranter(s, now) {
		return fescuebank.ShardTokenReply{Shard: r.Shard, Sequence: r.Sequence, NotOwner: true}
	}
	return s.granter.HandleRequest(now, from, r, a.quota)
}

// syncGranter makes the granter match the assignment and reports whether this
// instance may act as the owner. The caller holds the shard's lock.
func (a *Admitter) syncGranter(s *shard, now time.Time) bool {
	fencing, mayAct := a.directory.MayAct(s.id)
	if !mayAct {
		return false
	}
	slots := a.homeSlots(s.id)
	if s.granter == nil || s.granter.Fencing() != fencing {
		s.granter = granter.New(a.timing, fencing, now, slots)
		if fencing == firstAssignment {
			s.granter.StartFull(now)
		} else {
			go a.fetchHandover(s, fencing)
		}
		return true
	}
	s.granter.SetSlots(now, slots, a.quota)
	return true
}

func (a *Admitter) homeSlots(id fescuebank.ShardID) []granter.Slot {
	state, _ := a.directory.Current().Shard(id)
	slots := make([]granter.Slot, 0, len(state.Homes))
	for _, h := range state.Homes {
		slots = append(slots, granter.Slot{Holder: h.Holder, FormerStopped: a.directory.FloorOpen(h)})
	}
	return slots
}

// UpdateOwnership applies a new assignment before it is acknowledged: it ends the granters of
// shards that have a newer owner and updates the home slots of this instance.
func (a *Admitter) UpdateOwnership() {
	for i := range a.shards {
		a.retireGranter(&a.shards[i])
		a.syncSlot(&a.shards[i])
	}
}

// retireGranter ends the granter of a shard that has a newer owner, and keeps its
// state for that owner.
func (a *Admitter) retireGranter(s *shard) {
	state, _ := a.directory.Current().Shard(s.id)
	now := a.lock(s)
	defer s.mu.Unlock()
	if s.granter == nil || s.granter.Fencing() == state.Since {
		return
	}
	handover := s.granter.Retire(now, a.quota)
	s.granter = nil
	s.handover, s.stoppedAt, s.successor = &handover, now, state.Since
}

// handoverAttempts is how often each former owner is asked for its handover state.
const handoverAttempts = 2

// fetchHandover asks the former owners of a shard for their bucket levels, until one
// replies.
func (a *Admitter) fetchHandover(s *shard, fencing fescuebank.FencingNumber) {
	state, _ := a.directory.Current().Shard(s.id)
	for _, former := range state.Former {
		member, ok := a.directory.Find(former.ID)
		if !ok {
			continue
		}
		for range handoverAttempts {
			requestedAt := a.now()
			ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
			var reply fescuebank.BucketHandoverReply
			err := a.peer.Call(ctx, member.PeerAddr, fescuebank.KindBucketHandover, &fescuebank.BucketHandoverRequest{Shard: s.id, OwnerFencing: fencing}, &reply)
			cancel()
			if err != nil {
				continue
			}
			s.mu.Lock()
			if s.granter != nil && s.granter.Fencing() == fencing {
				s.granter.ApplyHandover(requestedAt, reply)
			}
			s.mu.Unlock()
			return
		}
	}
}

// HandleBucketHandover answers a BucketHandoverRequest of the next owner of a shard.
// The bucket levels are sent only once.
func (a *Admitter) HandleBucketHandover(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.BucketHandoverRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	if int(request.Shard) >= len(a.shards) {
		return nil, fescuebank.ErrNotOwner
	}
	s := &a.shards[request.Shard]
	now := a.lock(s)
	defer s.mu.Unlock()
	if s.handover == nil || s.successor != request.OwnerFencing {
		return nil, fescuebank.ErrNotOwner
	}
	reply := *s.handover
	reply.SinceStop += now.Sub(s.stoppedAt)
	s.handover = nil
	return &reply, nil
}
