package admitter

import (
	"context"
	"slices"
	"sync"

	"fescuebank"
	"fescuebank/internal/limit/requester"
)

// exchange requests tokens of a shard from its owner. Callers that arrive meanwhile
// wait for the running exchange and then share one more. It reports whether the owner
// replied recently.
func (a *Admitter) exchange(ctx context.Context, s *shard) bool {
	s.mu.Lock()
	if current := s.exchangeDone; current != nil {
		s.mu.Unlock()
		select {
		case <-current:
		case <-ctx.Done():
			return false
		}
		s.mu.Lock()
	}
	if s.exchangeDone != nil {
		current := s.exchangeDone
		s.mu.Unlock()
		select {
		case <-current:
		case <-ctx.Done():
		}
		return a.repliedRecently(s)
	}
	done := make(chan struct{})
	s.exchangeDone = done
	request := s.requester.NextRequest(a.now())
	s.mu.Unlock()
	a.exchangeWithOwner(s, request)
	s.mu.Lock()
	s.exchangeDone = nil
	s.mu.Unlock()
	close(done)
	return a.repliedRecently(s)
}

func (a *Admitter) repliedRecently(s *shard) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return a.now().Sub(s.repliedAt) < exchangeInterval
}

// exchangeWithOwner sends one shard's request to its owner and applies the reply.
func (a *Admitter) exchangeWithOwner(s *shard, request fescuebank.ShardTokenRequest) {
	owner, ok := a.directory.Owner(s.id)
	if !ok {
		return
	}
	a.send(owner, []fescuebank.ShardTokenRequest{request})
}

// send sends the requests of some shards to the instance that owns them, and applies
// its reply.
func (a *Admitter) send(owner fescuebank.Instance, requests []fescuebank.ShardTokenRequest) {
	request := fescuebank.TokenRequest{From: a.holder(), Shards: requests}
	var reply fescuebank.TokenReply
	if owner.ID == a.directory.Self().ID {
		reply = a.respond(&request)
	} else {
		ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
		defer cancel()
		if err := a.peer.Call(ctx, owner.PeerAddr, fescuebank.KindTokens, &request, &reply); err != nil {
			a.log.Debug("Owner not reached.", "owner", string(owner.ID), "err", err)
			return
		}
	}
	for _, r := range reply.Shards {
		if int(r.Shard) < len(a.shards) {
			a.applyGrants(&a.shards[r.Shard], r)
		}
	}
}

// applyGrants applies the owner's reply for one shard.
func (a *Admitter) applyGrants(s *shard, r fescuebank.ShardTokenReply) {
	now := a.lock(s)
	defer s.mu.Unlock()
	shortGrants, ok := s.requester.ApplyReply(now, r)
	if !ok {
		return
	}
	s.repliedAt = now
	s.shortages = make(map[fescuebank.TeamID]shortage, len(shortGrants))
	for _, g := range shortGrants {
		s.shortages[g.Team] = shortage{
			nextTokenAt: now.Add(g.Wait), outstandingElsewhere: g.OutstandingElsewhere > 0, recovering: g.Recovering,
		}
	}
}

// syncSlot sets the requester's home slot to the one that this instance holds, if any. A
// slot counts only after its former holders can no longer use its floor.
func (a *Admitter) syncSlot(s *shard) {
	me := a.holder()
	state, _ := a.directory.Current().Shard(s.id)
	slot := slices.IndexFunc(state.Homes, func(h fescuebank.Home) bool { return h.Holder == me && a.directory.FloorOpen(h) })
	if slot < 0 {
		slot = requester.NoSlot
	}
	now := a.lock(s)
	defer s.mu.Unlock()
	s.requester.SetSlot(now, slot)
}

// Run requests tokens from the owners every exchangeInterval until ctx ends.
func (a *Admitter) Run(ctx context.Context) {
	for fescuebank.Sleep(ctx, a.clock, exchangeInterval) == nil {
		a.exchangeAll()
	}
}

// exchangeAll sends each owner one request for all its shards that are in use on this
// instance.
func (a *Admitter) exchangeAll() {
	used := a.usedShards()
	byOwner := make(map[fescuebank.Instance][]fescuebank.ShardTokenRequest)
	for i := range a.shards {
		s := &a.shards[i]
		a.syncSlot(s)
		owner, ok := a.directory.Owner(s.id)
		if !ok || !used[i] {
			continue
		}
		now := a.lock(s)
		if s.exchangeDone == nil && s.requester.Active() {
			byOwner[owner] = append(byOwner[owner], s.requester.NextRequest(now))
		}
		s.mu.Unlock()
	}
	var group sync.WaitGroup
	for owner, requests := range byOwner {
		group.Go(func() { a.send(owner, requests) })
	}
	group.Wait()
}

// usedShards reports for each shard whether it has any team.
func (a *Admitter) usedShards() [fescuebank.ShardCount]bool {
	var used [fescuebank.ShardCount]bool
	for id := range a.config.Current().Teams {
		used[fescuebank.ShardOf(string(id))] = true
	}
	return used
}
