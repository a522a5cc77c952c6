// Package meter collects the metrics of an instance and serves them.
package meter

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLabels bounds the number of labels per counter. Further labels are counted
	// together, under otherLabel.
	maxLabels  = 256
	otherLabel = "other"
	// maxMs is the largest value of the histograms, and significantDigits their
	// precision.
	maxMs             = 600_000
	significantDigits = 2
)

// Meter holds counters with labels, histograms of durations, and gauges. Count and Time
// may be called on a nil Meter, where they do nothing.
type Meter struct {
	mu         sync.Mutex
	counters   map[string]map[string]int64
	histograms map[string]*hdrhistogram.Histogram
	gauges     map[string]func() any
}

// New returns a meter without metrics.
func New() *Meter {
	return &Meter{
		counters:   make(map[string]map[string]int64),
		histograms: make(map[string]*hdrhistogram.Histogram),
		gauges:     make(map[string]func() any),
	}
}

// Count increments the counter with these labels.
func (m *Meter) Count(name string, labels ...string) {
	if m == nil {
		return
	}
	label := strings.Join(labels, ",")
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.counters[name]
	if c == nil {
		c = make(map[string]int64)
		m.counters[name] = c
	}
	if _, ok := c[label]; !ok && len(c) >= maxLabels {
		label = otherLabel
	}
	c[label]++
}

// Time records a duration in a histogram, in milliseconds.
func (m *Meter) Time(name string, d time.Duration) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, maxMs, significantDigits)
		m.histograms[name] = h
	}
	_ = h.RecordValue(min(max(1, d.Milliseconds()), maxMs)) // The value is within bounds.
}

// Gauge registers a gauge whose value is returned by read. Call it before the
// first request.
func (m *Meter) Gauge(name string, read func() any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[name] = read
}

// Summary summarizes a histogram, in milliseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50Ms int64 `json:"p50Ms"`
	P95Ms int64 `json:"p95Ms"`
	P99Ms int64 `json:"p99Ms"`
	MaxMs int64 `json:"maxMs"`
}

// Snapshot returns the values of all metrics by name.
func (m *Meter) Snapshot() map[string]any {
	m.mu.Lock()
	all := make(map[string]any, len(m.counters)+len(m.histograms)+len(m.gauges))
	for name, labels := range m.counters {
		labelCounts := make(map[string]int64, len(labels))
		for label, n := range labels {
			labelCounts[label] = n
		}
		all[name] = labelCounts
	}
	for name, h := range m.histograms {
		all[name] = Summary{
			Count: h.TotalCount(), P50Ms: h.ValueAtQuantile(50), P95Ms: h.ValueAtQuantile(95),
			P99Ms: h.ValueAtQuantile(99), MaxMs: h.Max(),
		}
	}
	gauges := make(map[string]func() any, len(m.gauges))
	for name, read := range m.gauges {
		gauges[name] = read
	}
	m.mu.Unlock()
	for name, read := range gauges {
		all[name] = read()
	}
	return all
}

// ServeHTTP writes one line per metric: its name and its value as JSON.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	all := m.Snapshot()
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		value, err := json.Marshal(all[name])
		if err != nil {
			continue // Skip a gauge that can't be encoded.
		}
		_, _ = w.Write([]byte(name + " " + string(value) + "\n")) // The client may have disconnected.
	}
}
