// Package recorder gathers what a load run measures.
package recorder

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fescuebank"
)

const (
	// lowest, highest and digits are the range and precision of histograms, in
	// microseconds.
	lowest  = 1
	highest = 10 * 60 * 1_000_000
	digits  = 3
)

// Recorder takes measurements of one run. Latencies count from when a request
// was due, so that a stalled system can't hide them.
type Recorder struct {
	mu    sync.Mutex
	first *hdrhistogram.Histogram
	gaps  *hdrhistogram.Histogram
	teams map[fescuebank.TeamID]*team
}

type team struct {
	Summary
	first *hdrhistogram.Histogram
}

// Summary is what one team got.
type Summary struct {
	Team     fescuebank.TeamID `json:"team"`
	Sent     int64             `json:"sent"`
	Complete int64             `json:"complete"`
	Tokens   int64             `json:"tokens"`
	Limited  int64             `json:"limited"`
	Wrongful int64             `json:"refusedInRate"`
	Failed   int64             `json:"failed"`
	FirstP95 float64           `json:"firstTokenP95Milliseconds"`
}

// New returns a recorder without measurements.
func New() *Recorder {
	return &Recorder{first: newHistogram(), gaps: newHistogram(), teams: make(map[fescuebank.TeamID]*team)}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowest, highest, digits)
}

func (r *Recorder) team(id fescuebank.TeamID) *team {
	t, ok := r.teams[id]
	if !ok {
		t = &team{Summary: Summary{Team: id}, first: newHistogram()}
		r.teams[id] = t
	}
	return t
}

// Sent counts a request that was due.
func (r *Recorder) Sent(id fescuebank.TeamID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.team(id).Sent++
}

// First takes the time from due to the first token.
func (r *Recorder) First(id fescuebank.TeamID, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.first.RecordValue(clamp(d))
	_ = r.team(id).first.RecordValue(clamp(d))
}

// Gap takes the time between two tokens.
func (r *Recorder) Gap(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.gaps.RecordValue(clamp(d))
}

func clamp(d time.Duration) int64 {
	return min(max(d.Microseconds(), lowest), highest)
}

// End is how a request ended.
type End uint8

// The ends of a request.
const (
	Complete End = iota
	Limited
	Wrongful
	Failed
)

// Ended takes the end of a request and the tokens it got.
func (r *Recorder) Ended(id fescuebank.TeamID, end End, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.team(id)
	t.Tokens += int64(tokens)
	switch end {
	case Complete:
		t.Complete++
	case Limited:
		t.Limited++
	case Wrongful:
		t.Wrongful++
	case Failed:
		t.Failed++
	}
}

// Report is the result of one run.
type Report struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Quantiles of the first token and of the time between tokens, in milliseconds.
	First Quantiles `json:"firstTokenMilliseconds"`
	Gap   Quantiles `json:"betweenTokensMilliseconds"`
	// OnlineTokens and BatchTokens are per second.
	OnlineTokens float64 `json:"onlineTokensPerSecond"`
	BatchTokens  float64 `json:"batchTokensPerSecond"`
	// IdleTokens is what the engines could have generated beside online work.
	IdleTokens float64 `json:"idleTokensPerSecond"`
	Sent       int64   `json:"sent"`
	Complete   int64   `json:"complete"`
	Limited    int64   `json:"limited"`
	Wrongful   int64   `json:"refusedInRate"`
	Failed     int64   `json:"failed"`
	Retries    int64   `json:"retries"`
	// Jain is Jain's index of the teams' completed share of what they may send.
	Jain    float64   `json:"jainIndex"`
	Teams   []Summary `json:"teams"`
	Control Control   `json:"control"`
	// Curve holds the first token's quantiles for a plot.
	Curve []Point `json:"-"`
}

// Team returns what a team got.
func (r *Report) Team(id fescuebank.TeamID) Summary {
	for _, t := range r.Teams {
		if t.Team == id {
			return t
		}
	}
	return Summary{Team: id}
}

// Control is what control costs, per instance and second. Processor time and
// memory include the stand-ins and callers of an in-process run.
type Control struct {
	PeerRequests float64 `json:"peerRequests"`
	PeerBytes    float64 `json:"peerBytes"`
	StoreReads   float64 `json:"storeReads"`
	StoreWrites  float64 `json:"storeWrites"`
	StoreWatches float64 `json:"storeWatches"`
	Processor    float64 `json:"cores"`
	HeapMiB      float64 `json:"heapMiB"`
}

// Quantiles are in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Point is one point of a quantile curve.
type Point struct {
	Quantile     float64
	Milliseconds float64
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{P50: at(h, 50), P95: at(h, 95), P99: at(h, 99)}
}

func at(h *hdrhistogram.Histogram, percent float64) float64 {
	const perMillisecond = 1000
	return float64(h.ValueAtQuantile(percent)) / perMillisecond
}

// Report sums the run up. entitled is how many requests each team may have
// answered: what it sent within its rate.
func (r *Recorder) Report(d time.Duration, entitled map[fescuebank.TeamID]int64) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{First: quantiles(r.first), Gap: quantiles(r.gaps)}
	tokens := int64(0)
	var shares []float64
	for id, t := range r.teams {
		// Of a team that sends too much, some request is always refused while
		// another one was let through in its place.
		t.Wrongful = min(t.Wrongful, max(0, entitled[id]-t.Complete))
		t.FirstP95 = at(t.first, 95)
		report.Teams = append(report.Teams, t.Summary)
		report.Sent += t.Sent
		report.Complete += t.Complete
		report.Limited += t.Limited
		report.Wrongful += t.Wrongful
		report.Failed += t.Failed
		tokens += t.Tokens
		if entitled[id] > 0 {
			shares = append(shares, float64(t.Complete)/float64(entitled[id]))
		}
	}
	slices.SortFunc(report.Teams, func(a, b Summary) int { return cmp.Compare(a.Team, b.Team) })
	report.OnlineTokens = float64(tokens) / d.Seconds()
	report.Jain = jain(shares)
	for _, percent := range []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 97, 98, 99, 99.5, 99.9} {
		report.Curve = append(report.Curve, Point{Quantile: percent, Milliseconds: at(r.first, percent)})
	}
	return report
}

// jain is 1 when all shares are equal, and 1 over their number when one has all.
func jain(shares []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, s := range shares {
		sum += s
		squares += s * s
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(shares)) * squares)
}
