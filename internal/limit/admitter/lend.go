package admitter

import (
	"context"

	"fescuebank"
)

// acquireFromHomes asks the other homes of the shard for an unspent token, or to admit
// the request from their floor. It reports whether the request is admitted.
func (a *Admitter) acquireFromHomes(ctx context.Context, s *shard, team fescuebank.TeamID, q fescuebank.Quota) bool {
	for _, home := range a.directory.Homes(s.id) {
		if home.ID == a.directory.Self().ID {
			continue
		}
		call, cancel := context.WithTimeout(ctx, exchangeTimeout)
		requestedAt := a.now()
		var reply fescuebank.LendReply
		request := fescuebank.LendRequest{From: a.holder(), Team: team, Count: 1}
		err := a.peer.Call(call, home.PeerAddr, fescuebank.KindLend, &request, &reply)
		cancel()
		if err != nil {
			continue
		}
		if reply.Floor > 0 {
			return true
		}
		s.mu.Lock()
		s.requester.AddLent(requestedAt, team, reply.Lent)
		s.mu.Unlock()
		if a.retake(s, team, q) {
			return true
		}
	}
	return false
}

// HandleLend answers a LendRequest of another instance.
func (a *Admitter) HandleLend(_ context.Context, decode func(into any) error) (any, error) {
	var request fescuebank.LendRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	q, ok := a.quota(request.Team)
	if !ok {
		return &fescuebank.LendReply{}, nil
	}
	s := &a.shards[fescuebank.ShardOf(string(request.Team))]
	now := a.lock(s)
	defer s.mu.Unlock()
	reply := s.requester.Lend(now, request.Team, max(0, request.Count), q)
	return &reply, nil
}
