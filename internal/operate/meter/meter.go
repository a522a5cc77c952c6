// Package meter counts what an instance does and serves the counts.
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
	// maxLabels bounds the different labels of one counter; further ones are
	// counted together.
	maxLabels = 256
	// otherLabel stands for the labels beyond maxLabels.
	otherLabel = "other"
	// longestMs and digits shape the histograms.
	longestMs = 600_000
	digits    = 2
)

// Meter holds counters with labels, and histograms of durations. Its methods may
// be called on a nil Meter, which counts nothing.
type Meter struct {
	mu         sync.Mutex
	counters   map[string]map[string]int64
	histograms map[string]*hdrhistogram.Histogram
	gauges     map[string]func() any
}

// New returns a meter without counts.
func New() *Meter {
	return &Meter{
		counters:   make(map[string]map[string]int64),
		histograms: make(map[string]*hdrhistogram.Histogram),
		gauges:     make(map[string]func() any),
	}
}

// Count adds one to a counter under the labels.
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

// Time adds a duration to a histogram, in milliseconds.
func (m *Meter) Time(name string, d time.Duration) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, longestMs, digits)
		m.histograms[name] = h
	}
	_ = h.RecordValue(min(max(1, d.Milliseconds()), longestMs)) // The value is within bounds.
}

// Gauge serves what read returns under a name. Call it before the first request.
func (m *Meter) Gauge(name string, read func() any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[name] = read
}

// Summary is what is served of a histogram, in milliseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50Ms"`
	P95   int64 `json:"p95Ms"`
	P99   int64 `json:"p99Ms"`
	Max   int64 `json:"maxMs"`
}

// Snapshot returns all counts by name.
func (m *Meter) Snapshot() map[string]any {
	m.mu.Lock()
	all := make(map[string]any, len(m.counters)+len(m.histograms)+len(m.gauges))
	for name, labels := range m.counters {
		copied := make(map[string]int64, len(labels))
		for label, n := range labels {
			copied[label] = n
		}
		all[name] = copied
	}
	for name, h := range m.histograms {
		all[name] = Summary{
			Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95),
			P99: h.ValueAtQuantile(99), Max: h.Max(),
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

// ServeHTTP writes one line a count: name, label, value.
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
			continue // A gauge that can't be shown is left out.
		}
		_, _ = w.Write([]byte(name + " " + string(value) + "\n")) // A reader that is gone gets nothing.
	}
}
