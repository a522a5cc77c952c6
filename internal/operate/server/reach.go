package server

import (
	"context"
	"net"

	"fescuebank"
	"fescuebank/internal/endpoint/dialer"
	"fescuebank/internal/endpoint/tunneler"
)

// minWeight is the least weight by which the load of an instance is divided.
const minWeight = 0.01

// buildReach builds what connects to endpoints for this instance and for others.
func (s *Server) buildReach() {
	s.dialer = dialer.New(dialer.Config{
		Zone: s.self.Zone, Endpoints: s.allocator.Endpoints, Relays: s.relays, Connect: s.platform.ConnectEndpoint, Open: s.openTunnel,
		OnChange: s.applyReach, OnRefused: s.applyRefused, Clock: s.clock, Log: s.logFor("endpoint"),
	})
	s.tunneler = tunneler.New(tunneler.Config{
		Endpoints: s.openEndpoints, Connect: s.platform.ConnectEndpoint, Closed: s.opensNoTunnels, OnChange: s.gossiper.Wake,
		Meter: s.meter, Clock: s.clock, Log: s.logFor("endpoint"),
	})
	s.linker.HandleOpen(fescuebank.KindDialEndpoint, s.tunneler.Handle)
}

// relays returns the other instances that may connect this one to endpoints.
func (s *Server) relays() []dialer.Relay {
	var list []dialer.Relay
	for _, p := range s.gossiper.Peers() {
		if !p.Alive || p.Gossip.EndpointsLost || p.Gossip.Leaving {
			continue
		}
		load := float64(p.Gossip.Online.Sum()+p.Gossip.Batch.Sum()+p.Gossip.Tunnels) / max(p.Weight, minWeight)
		list = append(list, dialer.Relay{ID: p.ID, Zone: p.Zone, Addr: p.PeerAddr, Load: load})
	}
	return list
}

// opensNoTunnels reports whether this instance connects no others to endpoints.
func (s *Server) opensNoTunnels() bool {
	return s.dialer.Lost() || s.leaving.Load()
}

// openTunnel has a peer connect this instance to an endpoint.
func (s *Server) openTunnel(ctx context.Context, peer string, request *fescuebank.DialRequest) (net.Conn, fescuebank.DialReply, error) {
	var reply fescuebank.DialReply
	c, err := s.linker.Open(ctx, peer, fescuebank.KindDialEndpoint, request, &reply)
	if err == nil && !reply.Connected {
		_ = c.Close()
	}
	return c, reply, err
}

// applyRefused handles that an endpoint refused a connection. It counts for others only if this instance
// reaches the other endpoints.
func (s *Server) applyRefused(addr string) {
	s.throttler.ObserveRefused(addr, !s.dialer.Doubtful())
}

// applyReach handles that this instance has lost all endpoints, or reaches them again. What it saw of
// the endpoints before says nothing about them.
func (s *Server) applyReach(lost bool) {
	s.gossiper.Wake()
	s.exchanger.CloseAllIdle()
	s.ejector.Forget()
	if lost {
		s.tunneler.CloseAll()
		s.entry.Relayer.MoveSilent()
	}
}
