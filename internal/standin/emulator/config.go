package emulator

import (
	"time"

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
