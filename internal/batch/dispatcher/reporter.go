package dispatcher

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"fescuebank"
)

const (
	// flushInterval is how long reports are collected before they are sent.
	flushInterval = 30 * time.Millisecond
	reportTimeout = 3 * time.Second
	// finalTimeout bounds the last reports at shutdown.
	finalTimeout = 5 * time.Second
	// reportRetention bounds how long an undelivered report is repeated.
	reportRetention = time.Minute
)

// reporter sends reports on items to the owners of their jobs. It repeats the report on
// an ended item until the owner replies; the owner doesn't apply it twice to the item.
type reporter struct {
	dispatcher *Dispatcher
	interval   time.Duration

	mu sync.Mutex
	// pending are the reports to be sent, by owner.
	pending map[fescuebank.Instance][]pendingReport
	// running holds the running items and when each was last reported.
	running map[*runningItem]time.Time
}

type pendingReport struct {
	report fescuebank.ItemReport
	since  time.Time
}

func newReporter(d *Dispatcher, interval time.Duration) *reporter {
	return &reporter{dispatcher: d, interval: interval, pending: make(map[fescuebank.Instance][]pendingReport), running: make(map[*runningItem]time.Time)}
}

func (r *reporter) itemStarted(item *runningItem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[item] = r.dispatcher.clock.Now()
}

func (r *reporter) itemEnded(item *runningItem, report fescuebank.ItemReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, item)
	r.pending[item.owner] = append(r.pending[item.owner], pendingReport{report: report, since: r.dispatcher.clock.Now()})
}

func (r *reporter) run(ctx context.Context) {
	for fescuebank.Sleep(ctx, r.dispatcher.clock, flushInterval) == nil {
		r.queueRunning()
		r.flush(ctx)
	}
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalTimeout)
	defer cancel()
	for r.hasWork() && fescuebank.Sleep(final, r.dispatcher.clock, flushInterval) == nil {
		r.flush(final)
	}
}

func (r *reporter) hasWork() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running) > 0 || len(r.pending) > 0
}

// queueRunning queues reports on items whose last one is older than the interval.
func (r *reporter) queueRunning() {
	now := r.dispatcher.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for item, last := range r.running {
		if now.Sub(last) < r.interval {
			continue
		}
		r.running[item] = now
		report := fescuebank.ItemReport{Ref: item.pulled.Ref, Attempt: item.pulled.Attempt, Kind: fescuebank.ItemRunning}
		r.pending[item.owner] = append(r.pending[item.owner], pendingReport{report: report, since: now})
	}
}

// flush sends the pending reports, in one request per owner.
func (r *reporter) flush(ctx context.Context) {
	r.mu.Lock()
	batches := maps.Clone(r.pending)
	clear(r.pending)
	r.mu.Unlock()
	var group sync.WaitGroup
	for owner, reports := range batches {
		group.Go(func() { r.send(ctx, owner, reports) })
	}
	group.Wait()
}

func (r *reporter) send(ctx context.Context, owner fescuebank.Instance, reports []pendingReport) {
	request := fescuebank.ReportRequest{From: r.dispatcher.directory.Self().ID}
	for _, p := range reports {
		request.Reports = append(request.Reports, p.report)
	}
	var reply fescuebank.ReportReply
	if owner.ID == request.From {
		reply = r.dispatcher.localOwner.Report(&request)
	} else {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		if err := r.dispatcher.peer.Call(ctx, owner.PeerAddr, fescuebank.KindReport, &request, &reply); err != nil {
			r.requeue(owner, reports)
			return
		}
	}
	if len(reply.Stop) > 0 {
		r.stop(reply.Stop)
	}
}

// requeue queues undelivered reports again, except those on running items and those
// past reportRetention.
func (r *reporter) requeue(owner fescuebank.Instance, reports []pendingReport) {
	now := r.dispatcher.clock.Now()
	reports = slices.DeleteFunc(reports, func(p pendingReport) bool {
		return p.report.Kind == fescuebank.ItemRunning || now.Sub(p.since) > reportRetention
	})
	if len(reports) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending[owner] = append(reports, r.pending[owner]...)
}

// stop cancels running items that their owner has asked to stop.
func (r *reporter) stop(refs []fescuebank.ItemRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for item := range r.running {
		if slices.Contains(refs, item.pulled.Ref) {
			item.cancel(errStopped)
		}
	}
}
