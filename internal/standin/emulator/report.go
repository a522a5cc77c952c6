package emulator

import (
	"slices"
	"time"

	"fescuebank"
)

type timedReport struct {
	at     time.Time
	report fescuebank.LoadReport
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
