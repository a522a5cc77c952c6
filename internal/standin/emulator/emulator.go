// Package emulator emulates a model engine with continuous batching under a token
// budget, a bounded prefix cache, and first-come first-served admission without
// priorities.
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
	// Models are the models loaded at the start.
	Models []fescuebank.ModelName
	// Slots is the maximum number of requests that generate at the same time.
	Slots int
	// StepBase is the base duration of a step; each running request adds
	// StepPerRequest.
	StepBase       time.Duration
	StepPerRequest time.Duration
	// TokenBudget is the maximum number of tokens in one step, prefill and decode
	// together.
	TokenBudget int
	// CacheBlocks is the capacity of the prefix cache.
	CacheBlocks int
	// ReportLag is the age of the counts in load reports.
	ReportLag time.Duration
	// EventLag is the delay of cache events. Every LoseEventEvery-th event is lost;
	// 0 loses none.
	EventLag       time.Duration
	LoseEventEvery int
	// CheckFencing makes the engine refuse commands with a stale fencing number.
	CheckFencing bool
	// CrashMarker crashes the engine when a prompt contains it. The engine restarts
	// after RestartAfter.
	CrashMarker  string
	RestartAfter time.Duration
	// WeightsURL is the address of the weight store that models are loaded from. If
	// it is empty, models load immediately.
	WeightsURL string
}

// Defaults sets the fields that are zero to their default values.
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
	running []*sequence
	cache   *prefixCache
	models  map[fescuebank.ModelName]string
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

type timedReport struct {
	at     time.Time
	report fescuebank.LoadReport
}

// cacheEvent reports that a prefix block was cached or evicted.
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
	// prefill is the number of prompt tokens that remain to be computed.
	prefill int
	// next is the index of the next token; end is one past the last.
	next, end int
	// out receives the generated tokens. Its buffer holds all of them.
	out       chan token
	cancelled bool
	// crash makes the engine crash once the prefill is complete.
	crash bool
}

// token is one generated token.
type token struct {
	index int
	text  string
	last  bool
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

// enqueue accepts a request regardless of load.
func (e *Emulator) enqueue(model fescuebank.ModelName, s *sequence) error {
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

// cancel cancels the requests with the given id.
func (e *Emulator) cancel(id fescuebank.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Concat(e.waiting, e.running) {
		if s.request == id {
			e.markCancelled(s)
		}
	}
}

// cancelSequence cancels one request whose connection has closed. Another request
// with the same id is not affected.
func (e *Emulator) cancelSequence(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Contains(e.waiting, s) || slices.Contains(e.running, s) {
		e.markCancelled(s)
	}
}

// markCancelled marks a request as cancelled. The caller holds mu.
func (e *Emulator) markCancelled(s *sequence) {
	if !s.cancelled {
		s.cancelled = true
		e.totals.Cancelled++
	}
}

// startStep schedules one step and returns its duration, or false if there is no
// work.
func (e *Emulator) startStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad()
	closeIfCancelled := func(s *sequence) bool {
		if s.cancelled {
			close(s.out)
		}
		return s.cancelled
	}
	e.waiting = slices.DeleteFunc(e.waiting, closeIfCancelled)
	e.running = slices.DeleteFunc(e.running, closeIfCancelled)
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
	e.allocateTokens()
	return e.config.StepBase + time.Duration(len(e.running))*e.config.StepPerRequest, true
}

// allocateTokens spends the token budget of a step: first on decoding, then on
// prefill in order of admission. The caller holds mu.
func (e *Emulator) allocateTokens() {
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
			e.cacheBlocks(s.blocks)
		}
	}
}

// finishStep emits the next token of each request whose prefill is complete.
func (e *Emulator) finishStep() {
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

// crash drops all requests and the prefix cache. The caller holds mu.
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

// cacheBlocks adds the blocks of a computed prompt to the prefix cache. The caller
// holds mu.
func (e *Emulator) cacheBlocks(blocks []uint64) {
	for _, block := range blocks {
		if evicted, ok := e.cache.add(block); ok {
			e.addEvent(evicted, false)
		}
		e.addEvent(block, true)
	}
}

// maxEvents is the maximum number of retained cache events.
const maxEvents = 4096

// addEvent appends a cache event unless it is to be lost. The caller holds mu.
func (e *Emulator) addEvent(block uint64, cached bool) {
	e.eventCount++
	if e.config.LoseEventEvery > 0 && e.eventCount%e.config.LoseEventEvery == 0 {
		return
	}
	e.events = append(e.events, cacheEvent{Number: e.eventCount, Block: block, Cached: cached, At: e.clock.Now()})
	if len(e.events) > maxEvents {
		e.events = slices.Clone(e.events[maxEvents/2:])
	}
}

// recordLoad keeps recent load reports so that report can return an old one. The
// caller holds mu.
func (e *Emulator) recordLoad() {
	now := e.clock.Now()
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].at) < e.config.ReportLag/4 {
		return
	}
	e.reports = append(e.reports, timedReport{at: now, report: e.load()})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.config.ReportLag {
		e.reports = e.reports[1:]
	}
}

// load returns the current load. The caller holds mu.
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

// report returns the load with the counts of ReportLag ago. Its models and the
// leaving flag are current.
func (e *Emulator) report() fescuebank.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad()
	now := e.load()
	old := e.reports[0].report
	now.Running, now.Waiting = old.Running, old.Waiting
	return now
}

const (
	// blockTokens is the length of a prefix cache block in tokens.
	blockTokens = 32
	// charsPerToken is the length of a prompt token in bytes.
	charsPerToken = 4
	blockChars    = blockTokens * charsPerToken
)

// promptBlocks returns the hashes of a prompt's complete blocks. Each hash covers
// the prompt from its start to the end of the block.
func promptBlocks(prompt string) []uint64 {
	var blocks []uint64
	for end := blockChars; end <= len(prompt); end += blockChars {
		blocks = append(blocks, xxhash.Sum64String(prompt[:end]))
	}
	return blocks
}

// vocabulary holds the words that generated texts consist of.
var vocabulary = []string{
	"the", "tide", "turns", "before", "noon", "feast", "of", "harbour", "lights", "calendar",
	"rising", "moon", "skipper", "notes", "wind", "from", "south", "evening", "begins", "at",
}

// TokenText returns the text of the token at index in the response to a prompt. It
// depends on nothing else, so every engine gives the same response.
func TokenText(prompt string, index int) string {
	return tokenText(xxhash.Sum64String(prompt), index)
}

func tokenText(seed uint64, index int) string {
	const mix = 0x9e3779b97f4a7c15
	h := (seed + uint64(index)) * mix
	return vocabulary[(h>>32)%uint64(len(vocabulary))] + " "
}

// prefixCache is a set of block hashes with least-recently-used eviction.
type prefixCache struct {
	capacity int
	recency  *list.List
	elements map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), elements: make(map[uint64]*list.Element)}
}

// lookup returns the number of leading blocks that are cached.
func (c *prefixCache) lookup(blocks []uint64) int {
	for n, block := range blocks {
		element, ok := c.elements[block]
		if !ok {
			return n
		}
		c.recency.MoveToFront(element)
	}
	return len(blocks)
}

// add caches a block and returns the block evicted in its place, if any.
func (c *prefixCache) add(block uint64) (uint64, bool) {
	if element, ok := c.elements[block]; ok {
		c.recency.MoveToFront(element)
		return 0, false
	}
	c.elements[block] = c.recency.PushFront(block)
	if c.recency.Len() <= c.capacity {
		return 0, false
	}
	oldest := c.recency.Remove(c.recency.Back()).(uint64)
	delete(c.elements, oldest)
	return oldest, true
}
