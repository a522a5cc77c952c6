// Package aggregator makes the burn report of all instances.
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
	// callTimeout bounds the call to one instance.
	callTimeout = 2 * time.Second
	// maxCalls is how many instances are called at once.
	maxCalls = 16
)

// Members are the other instances.
type Members interface {
	Peers() []gossiper.Peer
}

// Counts are those of this instance.
type LevelSource interface {
	Levels() []fescuebank.TeamServiceLevels
}

// Aggregator serves the burn report.
type Aggregator struct {
	members Members
	peer    fescuebank.Peer
	counts  LevelSource
}

// New returns an aggregator.
func New(members Members, peer fescuebank.Peer, counts LevelSource) *Aggregator {
	return &Aggregator{members: members, peer: peer, counts: counts}
}

// request asks an instance for its counts.
type request struct{}

// reply holds an instance's counts.
type reply struct {
	Teams []fescuebank.TeamServiceLevels `cbor:"1,keyasint"`
}

// Handle answers another instance's aggregator.
func (g *Aggregator) Handle(context.Context, func(into any) error) (any, error) {
	return &reply{Teams: g.counts.Levels()}, nil
}

// Report gathers the counts of all instances and rates them. Those that don't
// answer are named.
func (g *Aggregator) Report(ctx context.Context) evaluator.Report {
	peers := g.members.Peers()
	replies := make([]*reply, len(peers))
	slots := make(chan struct{}, maxCalls)
	var group sync.WaitGroup
	for i, p := range peers {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			replies[i] = g.ask(ctx, p.PeerAddr)
		})
	}
	group.Wait()
	levels := [][]fescuebank.TeamServiceLevels{g.counts.Levels()}
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

// ask returns the counts of one instance, or nil.
func (g *Aggregator) ask(ctx context.Context, addr string) *reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r reply
	if err := g.peer.Call(ctx, addr, fescuebank.KindServiceLevels, &request{}, &r); err != nil {
		return nil // The report names it as missing.
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
	_, _ = w.Write(body) // A reader that is gone gets nothing.
}
