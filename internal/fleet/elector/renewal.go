package elector

import (
	"context"
	"time"

	"fescuebank"
	"fescuebank/internal/fleet/gossiper"
	"fescuebank/internal/fleet/renewer"
)

// renewalInterval is how often the list is compared with the members while it names
// incarnations that have ended.
const renewalInterval = 60 * time.Millisecond

// renewal returns the state of the owners by which the next list may have to wait for them. The
// caller holds the lock.
func (e *Elector) renewal(peers []gossiper.Peer, now time.Time) renewer.Renewer {
	r := renewer.Renewer{Self: e.holder, Uptime: now.Sub(e.started), SinceRead: now.Sub(e.renewalReadAt)}
	if e.list == nil {
		return r
	}
	byID := make(map[fescuebank.InstanceID]gossiper.Peer, len(peers))
	for _, p := range peers {
		byID[p.ID] = p
	}
	for _, h := range e.list.Owners {
		p := byID[h.ID]
		r.Owners = append(r.Owners, renewer.Owner{Listed: h, Registered: p.Incarnation, Heard: p.Gossip.Incarnation, Reachable: p.Reachable})
	}
	return r
}

// readRestarted reads the members from the store while owners run incarnations whose entries
// aren't known here. Only the owner instance that may write the next list does so.
func (e *Elector) readRestarted(ctx context.Context) {
	peers := e.Members.Peers()
	if !e.Self.Owner || !e.isFirst(peers) {
		return
	}
	e.mu.Lock()
	now := e.Clock.Now()
	mustRead := e.renewal(peers, now).MustReadMembers()
	if mustRead {
		e.renewalReadAt = now
	}
	e.mu.Unlock()
	if mustRead {
		e.ReadMembers(ctx)
	}
}

// checkInterval returns the time until the list is compared with the members again.
func (e *Elector) checkInterval() time.Duration {
	if !e.Self.Owner {
		return reconcileInterval
	}
	peers := e.Members.Peers()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.renewal(peers, e.Clock.Now()).IsRenewing() {
		return renewalInterval
	}
	return reconcileInterval
}
