// Package emulator emulates a model engine with continuous batching under a token
// budget, a bounded prefix cache, and first-come first-served admission without
// priorities.
package emulator

import (
	"context"
	"errors"
	"slices"
	"sync"

	"fescuebank"
)

// Errors of the engine.
var (
	errNotLoaded    = errors.New("model not loaded")
	errLeaving      = errors.New("engine is leaving")
	errStaleFencing = errors.New("fencing number is old")
)

// Emulator is an emulated engine.
type Emulator struct {
	config Config
	clock  fescuebank.Clock
	// wake makes an idle Run start a step when a request has arrived.
	wake chan struct{}

	mu sync.Mutex
	// waiting are the accepted requests without a slot, oldest first.
	waiting []*sequence
	// running are the requests with a slot, in order of admission.
	running []*sequence
	cache   *prefixCache
	// models are the loaded models and their versions.
	models map[fescuebank.ModelName]string
	// adapters are the adapters loaded for each model.
	adapters map[fescuebank.ModelName][]string
	leaving  bool
	role     string
	// highestFencing is the highest fencing number of an accepted command.
	highestFencing fescuebank.FencingNumber
	// commands are the accepted commands, for tests.
	commands []fescuebank.Command
	// reports are the recent load reports, oldest first.
	reports []timedReport
	// events are the latest cache events, oldest first. eventCount counts all events,
	// lost ones included.
	events     []cacheEvent
	eventCount int
	totals     Totals
	// onCrash is called when a request crashes the engine.
	onCrash func()
}

// Totals counts the work of an engine since its start.
type Totals struct {
	Requests  int64 `json:"requests"`
	Generated int64 `json:"generated"`
	Prefilled int64 `json:"prefilled"`
	Cancelled int64 `json:"cancelled"`
	Crashes   int64 `json:"crashes"`
	Steps     int64 `json:"steps"`
}

// New returns an engine. It processes requests only while Run runs.
func New(c Config, clock fescuebank.Clock) *Emulator {
	c.Defaults()
	e := &Emulator{
		config: c, clock: clock, wake: make(chan struct{}, 1),
		cache:    newPrefixCache(c.CacheBlocks),
		models:   make(map[fescuebank.ModelName]string),
		adapters: make(map[fescuebank.ModelName][]string),
	}
	for _, m := range c.Models {
		e.models[m] = "v1"
	}
	return e
}

// Totals returns the counts so far.
func (e *Emulator) Totals() Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.totals
}

// Commands returns the commands accepted so far.
func (e *Emulator) Commands() []fescuebank.Command {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.commands)
}

// SetLeaving makes the engine refuse new requests and report that it is leaving.
func (e *Emulator) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Run executes steps until ctx ends.
func (e *Emulator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d, busy := e.startStep()
		if busy {
			_ = fescuebank.Sleep(ctx, e.clock, d)
			e.finishStep()
			continue
		}
		select {
		case <-e.wake:
		case <-e.clock.After(e.config.ReportLag):
		case <-ctx.Done():
		}
	}
}
