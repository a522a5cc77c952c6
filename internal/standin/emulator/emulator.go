// Package emulator emulates a model engine: continuous batching under a token
// budget, a limited prefix cache, no priorities, first come first admitted.
package emulator

import (
	"container/list"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuebank"
)

// Config describes an emulated engine.
type Config struct {
	// ID is the endpoint's id.
	ID fescuebank.EndpointID
	// Models are those loaded at the start.
	Models []fescuebank.ModelName
	// Slots is how many requests generate at once.
	Slots int
	// StepBase is the length of a step; StepPerRequest is added for each request in it.
	StepBase       time.Duration
	StepPerRequest time.Duration
	// TokenBudget bounds the tokens of one step, prefill and decode together.
	TokenBudget int
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// ReportLag is how far load reports lie behind.
	ReportLag time.Duration
	// EventLag is how late cache events are; every LoseEventEvery-th is lost. 0 loses none.
	EventLag       time.Duration
	LoseEventEvery int
	// CheckFencing refuses orders with an old fencing number.
	CheckFencing bool
	// CrashMarker in a prompt crashes the engine; RestartAfter brings it back.
	CrashMarker  string
	RestartAfter time.Duration
	// WeightsURL is the weight store that models are loaded from; empty loads at once.
	WeightsURL string
}

// Defaults fills in what c leaves out.
func (c *Config) Defaults() {
	if c.Slots == 0 {
		c.Slots = 16
	}
	if c.StepBase == 0 {
		c.StepBase = 16 * time.Millisecond
	}
	if c.StepPerRequest == 0 {
		c.StepPerRequest = 500 * time.Microsecond
	}
	if c.TokenBudget == 0 {
		c.TokenBudget = 1024
	}
	if c.CacheBlocks == 0 {
		c.CacheBlocks = 512
	}
	if c.ReportLag == 0 {
		c.ReportLag = 500 * time.Millisecond
	}
	if c.EventLag == 0 {
		c.EventLag = time.Second
	}
	if c.CrashMarker == "" {
		c.CrashMarker = "CRASH-THE-ENGINE"
	}
	if c.RestartAfter == 0 {
		c.RestartAfter = 2 * time.Second
	}
}

// Errors of the engine.
var (
	errNotLoaded = errors.New("model not loaded")
	errLeaving   = errors.New("engine is leaving")
	errStale     = errors.New("fencing number is old")
)

// Emulator is one emulated engine.
type Emulator struct {
	config Config
	clock  fescuebank.Clock
	wake   chan struct{}

	mu sync.Mutex
	// waiting are admitted requests without a slot, oldest first.
	waiting []*sequence
	running []*sequence
	cache   *prefixCache
	models  map[fescuebank.ModelName]string
	// adapters are those loaded beside each model.
	adapters map[fescuebank.ModelName][]string
	leaving  bool
	role     string
	fencing  fescuebank.FencingNumber
	// orders are those carried out, for tests.
	orders  []fescuebank.Order
	reports []timedReport
	events  []cacheEvent
	eventN  int
	totals  Totals
	// onCrash is told when a request crashed the engine.
	onCrash func()
}

// Totals count what the engine did.
type Totals struct {
	Requests  int64 `json:"requests"`
	Generated int64 `json:"generated"`
	Prefilled int64 `json:"prefilled"`
	Cancelled int64 `json:"cancelled"`
	Crashes   int64 `json:"crashes"`
	Steps     int64 `json:"steps"`
}

type timedReport struct {
	at     time.Time
	report fescuebank.LoadReport
}

// cacheEvent tells that a prefix block was cached or dropped.
type cacheEvent struct {
	Number int       `json:"number"`
	Block  uint64    `json:"block"`
	Cached bool      `json:"cached"`
	At     time.Time `json:"at"`
}

// sequence is one request inside the engine.
type sequence struct {
	request fescuebank.RequestID
	seed    uint64
	blocks  []uint64
	// prefill is the number of prompt tokens still to be computed.
	prefill int
	// next is the index of the next token; end is one past the last.
	next, end int
	// out takes generated tokens; it has room for all of them.
	out       chan token
	cancelled bool
	crash     bool
}

// token is one generated token.
type token struct {
	index int
	text  string
	last  bool
}

// New returns an engine. Run must be called to make it work.
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

// Totals returns what the engine did so far.
func (e *Emulator) Totals() Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.totals
}

// Orders returns the orders carried out so far.
func (e *Emulator) Orders() []fescuebank.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// SetLeaving makes the engine refuse new requests and report that it leaves.
func (e *Emulator) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Run steps until ctx ends.
func (e *Emulator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d, busy := e.step()
		if busy {
			_ = fescuebank.Sleep(ctx, e.clock, d)
			e.emit()
			continue
		}
		select {
		case <-e.wake:
		case <-e.clock.After(e.config.ReportLag):
		case <-ctx.Done():
		}
	}
}

// admit takes a request in, without regard to load.
func (e *Emulator) admit(model fescuebank.ModelName, s *sequence) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return errLeaving
	}
	if _, ok := e.models[model]; !ok {
		return errNotLoaded
	}
	e.totals.Requests++
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return nil
}

// cancel ends a request by id.
func (e *Emulator) cancel(id fescuebank.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Concat(e.waiting, e.running) {
		if s.request == id {
			e.drop(s)
		}
	}
}

// abandon ends one request whose connection has ended. Another one with the
// same id goes on.
func (e *Emulator) abandon(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Contains(e.waiting, s) || slices.Contains(e.running, s) {
		e.drop(s)
	}
}

// drop marks a request as cancelled. The caller holds mu.
func (e *Emulator) drop(s *sequence) {
	if !s.cancelled {
		s.cancelled = true
		e.totals.Cancelled++
	}
}

// step plans one step and returns its length, or false if there is no work.
func (e *Emulator) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record()
	gone := func(s *sequence) bool {
		if s.cancelled {
			close(s.out)
		}
		return s.cancelled
	}
	e.waiting = slices.DeleteFunc(e.waiting, gone)
	e.running = slices.DeleteFunc(e.running, gone)
	for len(e.running) < e.config.Slots && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		cached := e.cache.lookup(s.blocks)
		s.prefill = max(0, s.prefill-cached*blockTokens)
		e.running = append(e.running, s)
	}
	if len(e.running) == 0 {
		return 0, false
	}
	e.totals.Steps++
	e.plan()
	return e.config.StepBase + time.Duration(len(e.running))*e.config.StepPerRequest, true
}

// plan spends the token budget: decodes first, then prefill in order of admission.
func (e *Emulator) plan() {
	budget := e.config.TokenBudget
	for _, s := range e.running {
		if s.prefill == 0 {
			budget--
		}
	}
	for _, s := range e.running {
		if s.prefill == 0 || budget <= 0 {
			continue
		}
		part := min(s.prefill, budget)
		s.prefill -= part
		budget -= part
		e.totals.Prefilled += int64(part)
		if s.prefill == 0 {
			e.remember(s.blocks)
		}
	}
}

// emit ends a step: each request past its prefill gets its next token.
func (e *Emulator) emit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.ContainsFunc(e.running, func(s *sequence) bool { return s.crash && s.prefill == 0 }) {
		e.crash()
		return
	}
	for _, s := range e.running {
		if s.prefill > 0 || s.cancelled {
			continue
		}
		s.out <- token{index: s.next, text: tokenText(s.seed, s.next), last: s.next+1 == s.end}
		s.next++
		e.totals.Generated++
	}
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		if s.next < s.end {
			return false
		}
		close(s.out)
		return true
	})
}

// crash loses everything in flight. The caller holds mu.
func (e *Emulator) crash() {
	e.totals.Crashes++
	for _, s := range slices.Concat(e.waiting, e.running) {
		s.cancelled = true
		close(s.out)
	}
	e.waiting, e.running = nil, nil
	e.cache = newPrefixCache(e.config.CacheBlocks)
	if e.onCrash != nil {
		e.onCrash()
	}
}

// remember caches the blocks of a computed prompt.
func (e *Emulator) remember(blocks []uint64) {
	for _, block := range blocks {
		if dropped, ok := e.cache.add(block); ok {
			e.event(dropped, false)
		}
		e.event(block, true)
	}
}

const maxEvents = 4096

func (e *Emulator) event(block uint64, cached bool) {
	e.eventN++
	if e.config.LoseEventEvery > 0 && e.eventN%e.config.LoseEventEvery == 0 {
		return
	}
	e.events = append(e.events, cacheEvent{Number: e.eventN, Block: block, Cached: cached, At: e.clock.Now()})
	if len(e.events) > maxEvents {
		e.events = slices.Clone(e.events[maxEvents/2:])
	}
}

// record keeps load reports, so that they can be given out late.
func (e *Emulator) record() {
	now := e.clock.Now()
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].at) < e.config.ReportLag/4 {
		return
	}
	e.reports = append(e.reports, timedReport{at: now, report: e.load()})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.config.ReportLag {
		e.reports = e.reports[1:]
	}
}

func (e *Emulator) load() fescuebank.LoadReport {
	r := fescuebank.LoadReport{Running: len(e.running), Waiting: len(e.waiting), Leaving: e.leaving}
	for m := range e.models {
		r.Models = append(r.Models, m)
	}
	slices.Sort(r.Models)
	for _, m := range r.Models {
		r.Loaded = append(r.Loaded, fescuebank.LoadedModel{Name: m, Version: e.models[m], Adapters: e.adapters[m]})
	}
	return r
}

// report returns the load as it was some time ago. Models and leaving are current.
func (e *Emulator) report() fescuebank.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record()
	now := e.load()
	old := e.reports[0].report
	now.Running, now.Waiting = old.Running, old.Waiting
	return now
}

const (
	// blockTokens is the length of a prefix cache block.
	blockTokens = 32
	// charsPerToken is the length of a token in a prompt.
	charsPerToken = 4
	blockChars    = blockTokens * charsPerToken
)

// promptBlocks returns the hashes of a prompt's whole blocks, each over
// everything up to its end.
func promptBlocks(prompt string) []uint64 {
	var blocks []uint64
	for end := blockChars; end <= len(prompt); end += blockChars {
		blocks = append(blocks, xxhash.Sum64String(prompt[:end]))
	}
	return blocks
}

// vocabulary is what emulated engines say.
var vocabulary = []string{
	"the", "tide", "turns", "before", "noon", "feast", "of", "harbour", "lights", "calendar",
	"rising", "moon", "skipper", "notes", "wind", "from", "south", "evening", "begins", "at",
}

// TokenText returns the text of token index of the answer to a prompt. It
// depends on nothing else, so that every engine gives the same answer.
func TokenText(prompt string, index int) string {
	return tokenText(xxhash.Sum64String(prompt), index)
}

func tokenText(seed uint64, index int) string {
	const mix = 0x9e3779b97f4a7c15
	h := (seed + uint64(index)) * mix
	return vocabulary[(h>>32)%uint64(len(vocabulary))] + " "
}

// prefixCache is a least recently used set of block hashes.
type prefixCache struct {
	capacity int
	order    *list.List
	items    map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), items: make(map[uint64]*list.Element)}
}

// lookup returns how many leading blocks are cached.
func (c *prefixCache) lookup(blocks []uint64) int {
	for n, block := range blocks {
		item, ok := c.items[block]
		if !ok {
			return n
		}
		c.order.MoveToFront(item)
	}
	return len(blocks)
}

// add caches a block and returns the one dropped for it, if any.
func (c *prefixCache) add(block uint64) (uint64, bool) {
	if item, ok := c.items[block]; ok {
		c.order.MoveToFront(item)
		return 0, false
	}
	c.items[block] = c.order.PushFront(block)
	if c.order.Len() <= c.capacity {
		return 0, false
	}
	oldest := c.order.Remove(c.order.Back()).(uint64)
	delete(c.items, oldest)
	return oldest, true
}
