package tracker

import (
	"encoding/json"
	"net/http"
	"time"

	"fescuebank"
)

// Report applies a puller's report on an item. It returns false if the puller should
// stop the item, because the item was handed out to another puller or is done.
func (t *Tracker) Report(now time.Time, from fescuebank.InstanceID, r fescuebank.ItemReport, expiry time.Duration) bool {
	it := t.item(r.Ref)
	if it == nil || it.status != handedOut || it.attempt != r.Attempt || it.puller != from {
		return false
	}
	switch r.Kind {
	case fescuebank.ItemDone:
		t.finish(now, r.Ref, r.Outcome)
	case fescuebank.ItemReturned:
		it.saveProgress(r.Resume)
		t.requeue(r.Ref)
	case fescuebank.ItemLost:
		it.saveProgress(r.Resume)
		it.recordLoss(now)
	case fescuebank.ItemFailed:
		it.saveProgress(r.Resume)
		t.recordFailure(now, r.Ref)
	case fescuebank.ItemRunning:
		it.saveProgress(r.Resume)
		it.expiry = now.Add(expiry)
	}
	return true
}

// saveProgress stores a partial output if it is longer than the stored one.
func (i *item) saveProgress(p fescuebank.PartialResponse) {
	if p.Tokens > i.resume.Tokens {
		i.resume = p
		i.losses = 0
	}
}

func (t *Tracker) requeue(ref fescuebank.ItemRef) {
	t.item(ref).status = pending
	t.enqueue(ref)
}

// recordLoss pauses an item whose attempt was lost.
func (i *item) recordLoss(now time.Time) {
	i.status = paused
	i.notBefore = now.Add(lossPause << min(i.losses, maxLossDoublings))
	i.losses++
}

// recordFailure requeues an item that failed at its endpoint, or fails it after MaxFailures.
func (t *Tracker) recordFailure(now time.Time, ref fescuebank.ItemRef) {
	it := t.item(ref)
	it.failures++
	if it.failures < MaxFailures {
		t.requeue(ref)
		return
	}
	body, _ := json.Marshal(failureBody{Code: fescuebank.CodeEndpointError, Message: "the item failed on every endpoint that tried it"})
	t.finish(now, ref, fescuebank.ItemOutcome{
		CustomID: customID(t.chunks[ref.Chunk].lines[ref.Item]), Status: http.StatusBadGateway, Body: body, Failed: true,
	})
}

// failureBody is the error body of an item that failed after MaxFailures.
type failureBody struct {
	Code    fescuebank.RefusalCode `json:"code"`
	Message string                 `json:"message"`
}

func customID(line []byte) string {
	var request fescuebank.BatchLine
	_ = json.Unmarshal(line, &request) // The line was checked when it was uploaded.
	return request.CustomID
}

// finish records an item's outcome for the next commit.
func (t *Tracker) finish(now time.Time, ref fescuebank.ItemRef, outcome fescuebank.ItemOutcome) {
	c := &t.chunks[ref.Chunk]
	it := &c.items[ref.Item]
	it.status = finished
	it.resume = fescuebank.PartialResponse{}
	if len(c.results) == 0 {
		c.oldest = now
	}
	c.results = append(c.results, fescuebank.ItemResult{Item: ref.Item, Outcome: outcome})
	c.bytes += len(outcome.Body)
}
