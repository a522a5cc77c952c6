package dispatcher

import (
	"context"
	"net/http"
	"slices"

	"fescuebank"
)

// startItem runs an item. The caller holds mu.
func (d *Dispatcher) startItem(ctx context.Context, w *endpointWork, owner fescuebank.Instance, item fescuebank.PulledItem) {
	// The item outlives ctx: at shutdown CancelAll cancels it, and its progress is then
	// reported to the owner.
	runCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	r := &runningItem{pulled: item, owner: owner, cancel: cancel, started: d.clock.Now()}
	w.running = append(w.running, r)
	d.onRunningChange(w.id, 1)
	d.reporter.itemStarted(r)
	go func() {
		report := d.executeItem(runCtx, w, r)
		cancel(nil)
		d.mu.Lock()
		w.running = slices.DeleteFunc(w.running, func(other *runningItem) bool { return other == r })
		d.mu.Unlock()
		d.onRunningChange(w.id, -1)
		d.Wake()
		d.reporter.itemEnded(r, report)
	}()
}

// executeItem runs an item to its end and returns the report to its owner.
func (d *Dispatcher) executeItem(ctx context.Context, w *endpointWork, r *runningItem) fescuebank.ItemReport {
	report := fescuebank.ItemReport{Ref: r.pulled.Ref, Attempt: r.pulled.Attempt, Resume: r.pulled.Resume}
	c, line, err := newCompletionRequest(r.pulled)
	if err != nil {
		return failedReport(report, line.CustomID, http.StatusBadRequest, fescuebank.CodeBadRequest, err.Error())
	}
	endpoint, ok := d.endpoint(w.id)
	if !ok {
		report.Kind = fescuebank.ItemReturned
		return report
	}
	leave, err := d.guard.Enter(ctx, c, w.id)
	if err != nil {
		report.Kind = fescuebank.ItemReturned
		return report
	}
	finish := ""
	err = endpoint.Complete(ctx, c, func(delta fescuebank.Delta) error {
		report.Resume.Text += delta.Text
		report.Resume.Tokens = delta.Index + 1
		finish = delta.Finish
		return nil
	})
	report.Used = report.Resume.Tokens - r.pulled.Resume.Tokens
	leave(fescuebank.ClassifyAttempt(ctx, err))
	if err == nil {
		return completedReport(report, c, line.CustomID, finish)
	}
	return d.classify(ctx, w, report, line.CustomID, err)
}

// classify returns the report on a failed attempt: the endpoint rejected the item for good,
// did not run it, responded that it failed, or was lost under it.
func (d *Dispatcher) classify(ctx context.Context, w *endpointWork, report fescuebank.ItemReport, customID string, err error) fescuebank.ItemReport {
	if ctx.Err() != nil {
		report.Kind = fescuebank.ItemReturned
		return report
	}
	e, ok := fescuebank.AsEndpointError(err)
	if ok && e.Kind == fescuebank.EndpointRejected {
		return failedReport(report, customID, e.Status, fescuebank.CodeEndpointError, e.Cause.Error())
	}
	d.log.Debug("Batch item attempt failed.", "endpoint", string(w.id), "err", err)
	d.mu.Lock()
	w.pausedUntil = d.clock.Now().Add(endpointPause)
	d.mu.Unlock()
	switch {
	case ok && !e.MayHaveRun():
		report.Kind = fescuebank.ItemReturned
	case ok && e.Status != 0:
		report.Kind = fescuebank.ItemFailed
	default:
		report.Kind = fescuebank.ItemLost
	}
	return report
}
