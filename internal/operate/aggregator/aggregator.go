// Package aggregator collects the service level counts of all instances and reports the
// burn rates.
package aggregator

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"fescuebank"
	"fescuebank/internal/fleet/gossiper"
	"fescuebank/internal/operate/evaluator"
)

const (
	// callTimeout bounds a call to one instance.
	callTimeout = 2 * time.Second
	// maxCalls is the maximum number of concurrent calls.
	maxCalls = 16
)

// Members provides the other instances of the fleet.
type Members interface {
	Peers() []gossiper.Peer
}

// ServiceLevelSource provides the service level counts of this instance.
type ServiceLevelSource interface {
	Levels() []fescuebank.TeamServiceLevels
}

// Aggregator serves the burn rate report.
type Aggregator struct {
	members Members
	peer    fescuebank.Peer
	levels  ServiceLevelSource
}

// New returns an aggregator.
func New(members Members, peer fescuebank.Peer, levels ServiceLevelSource) *Aggregator {
	return &Aggregator{members: members, peer: peer, levels: levels}
}

// request is the request for the counts of an instance.
type request struct{}

// reply holds an instance's counts.
type reply struct {
	Teams []fescuebank.TeamServiceLevels `cbor:"1,keyasint"`
}

// Handle returns this instance's counts to the aggregator of another one.
func (g *Aggregator) Handle(context.Context, func(into any) error) (any, error) {
	return &reply{Teams: g.levels.Levels()}, nil
}

// Report collects the counts of all instances and evaluates them. It lists the instances
// that don't respond as missing.
func (g *Aggregator) Report(ctx context.Context) evaluator.Report {
	peers := g.members.Peers()
	replies := make([]*reply, len(peers))
	semaphore := make(chan struct{}, maxCalls)
	var group sync.WaitGroup
	for i, p := range peers {
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			replies[i] = g.fetch(ctx, p.PeerAddr)
		})
	}
	group.Wait()
	levels := [][]fescuebank.TeamServiceLevels{g.levels.Levels()}
	var missing []fescuebank.InstanceID
	for i, p := range peers {
		if replies[i] == nil {
			missing = append(missing, p.ID)
			continue
		}
		levels = append(levels, replies[i].Teams)
	}
	report := evaluator.Evaluator{}.Evaluate(levels, fescuebank.DefaultObjectives())
	report.Missing = missing
	return report
}

// fetch returns the counts of one instance, or nil if it doesn't respond.
func (g *Aggregator) fetch(ctx context.Context, addr string) *reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r reply
	if err := g.peer.Call(ctx, addr, fescuebank.KindServiceLevels, &request{}, &r); err != nil {
		return nil // The report lists it as missing.
	}
	return &r
}

// ServeHTTP writes the report as JSON.
func (g *Aggregator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(g.Report(r.Context()))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // The client may have disconnected.
}
