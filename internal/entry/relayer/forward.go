package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"

	"fescuebank"
	"fescuebank/internal/endpoint/exchanger"
	"fescuebank/internal/endpoint/profiler"
	"fescuebank/internal/endpoint/scanner"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/entry/spooler"
)

// errCorrupted means that a response can't be relayed: it is a success without the
// endpoint's signature or with a content encoding, an error after the response to the
// caller began, or a server error that can be retried.
var errCorrupted = errors.New("response corrupted")

// forward relays an endpoint's response to the caller. ctx is the request's.
func (t *transfer) forward(ctx context.Context, resp *exchanger.Response) (done bool, err error) {
	success := resp.StatusCode/100 == 2
	if success && !resp.IsIntact() {
		t.recordFailure(ctx, t.endpoint, errCorrupted)
		t.runs-- // Already counted in attempt.
		return false, errCorrupted
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		t.attemptHealth.record(false)
	}
	if t.headerSent && !success {
		return false, errCorrupted
	}
	if resp.StatusCode >= http.StatusInternalServerError && t.mayRunAgain() {
		return false, errCorrupted
	}
	if t.request.Route.Kind == fescuebank.RouteStreaming && success {
		return t.forwardEvents(ctx, resp)
	}
	return t.forwardBody(ctx, resp)
}

// spool returns the spooler of a response. The slot is free once the endpoint's part has ended, however long the
// caller takes to read the rest.
func (t *transfer) spool(resp *exchanger.Response) *spooler.Spooler {
	return spooler.New(spooler.Config{From: resp, To: t.writer, Memory: t.memory, OnEnd: t.slot.Release})
}

// sendHeader sends the response header unless it was sent before.
func (t *transfer) sendHeader(resp *exchanger.Response) {
	if t.headerSent {
		return
	}
	t.headerSent = true
	t.status = resp.StatusCode
	t.firstByte = t.clock.Now().Sub(t.request.Arrived)
	t.writer.Start(resp.StatusCode, fescuebank.EndToEndHeaders(resp.Header))
}

// forwardEvents relays complete events as they arrive and records their ids.
func (t *transfer) forwardEvents(ctx context.Context, resp *exchanger.Response) (done bool, err error) {
	events := scanner.New(t.resumedAfter())
	spool := t.spool(resp)
	defer spool.Close(resp.Abort)
	work := t.profiler.Begin(t.endpoint, t.request)
	buffer := make([]byte, readBufferBytes)
	for {
		t.stalls.wait(t.lastEvent)
		complete, count, readErr := readEvents(spool, events, buffer)
		if !t.stalls.pause() {
			resp.Abort()
			t.attemptHealth.record(false)
			return false, errMoved
		}
		if len(complete) > 0 {
			work.Arrived(count)
			t.attemptBegun = true
			t.begin()
			t.sendHeader(resp)
			if err := t.writeEvents(spool, complete, work); err != nil {
				resp.Abort()
				return true, context.Canceled
			}
			t.lastEvent = events.LastID()
		}
		if readErr == io.EOF {
			return t.endEvents(ctx, resp, events)
		}
		if readErr != nil {
			return t.handleTruncation(ctx, resp, readErr)
		}
	}
}

// resumedAfter returns the id of the event that the caller has received last, empty for none.
func (t *transfer) resumedAfter() string {
	if t.lastEvent != "" {
		return t.lastEvent
	}
	return t.request.ResumeAfter
}

// readEvents reads until at least one event is complete or the stream ends, and returns the number of events. Bytes of an
// incomplete event and comments are no progress: a stalled endpoint may send them now and then. Comments are returned with
// the event after them.
func readEvents(resp io.Reader, events *scanner.Scanner, buffer []byte) (complete []byte, count int, err error) {
	for err == nil && count == 0 {
		var n int
		n, err = resp.Read(buffer)
		fed, added := events.Feed(buffer[:n])
		count += added
		if len(complete) == 0 {
			complete = fed
		} else {
			complete = append(complete, fed...)
		}
		if len(complete) > maxBufferedBytes && count == 0 {
			return nil, 0, scanner.ErrTooLong
		}
		if invalid := events.Err(); invalid != nil {
			return complete, count, invalid
		}
	}
	return complete, count, err
}

// writeEvents sends events to the caller. If that takes long, the next ones are not timed, as they may have
// arrived meanwhile.
func (t *transfer) writeEvents(spool *spooler.Spooler, events []byte, work *profiler.Work) error {
	began := t.clock.Now()
	err := spool.Write(events)
	if t.clock.Now().Sub(began) > maxWriteTime {
		work.Interrupt()
	}
	return err
}

// endEvents handles the end of a stream's response.
func (t *transfer) endEvents(ctx context.Context, resp *exchanger.Response, events *scanner.Scanner) (done bool, err error) {
	if err := events.End(resp.IsCloseDelimited()); err != nil {
		return t.handleTruncation(ctx, resp, err)
	}
	t.sendHeader(resp)
	t.recordSuccess(resp)
	return true, nil
}

// recordSuccess records that the endpoint has responded completely.
func (t *transfer) recordSuccess(resp *exchanger.Response) {
	t.attemptHealth.record(true)
	if resp.StatusCode/100 == 2 {
		t.guarded.RecordCompleted()
	}
}

func (t *transfer) handleTruncation(ctx context.Context, resp *exchanger.Response, cause error) (done bool, err error) {
	resp.Abort()
	if ctx.Err() != nil {
		return true, t.finalError(ctx, ctx.Err())
	}
	if errors.Is(cause, exchanger.ErrStopped) {
		return true, t.finalError(ctx, cause)
	}
	t.attemptHealth.record(false)
	t.allocator.Exclude(t.endpoint.ID, allocator.ExclusionTime)
	t.log.Info("Answer broke off.", append(t.lossDetails(), "endpoint", string(t.endpoint.ID), "started", t.endpoint.StartedUnixMilli,
		"lastEvent", t.lastEvent, "framing", string(t.framing), "through", string(t.through), "err", cause.Error())...)
	if !t.attemptBegun {
		t.guarded.RecordLost(t.endpoint)
	}
	return false, cause
}

// forwardBody relays a response that is not an event stream. If the request may run
// again, up to maxBufferedBytes are read before anything is sent, so that a truncated
// response can be retried.
func (t *transfer) forwardBody(ctx context.Context, resp *exchanger.Response) (done bool, err error) {
	if t.mayRunAgain() {
		body, err := io.ReadAll(io.LimitReader(resp, maxBufferedBytes))
		if err != nil {
			return t.handleTruncation(ctx, resp, err)
		}
		t.sendHeader(resp)
		if err := t.writer.Write(body); err != nil {
			return true, context.Canceled
		}
	}
	spool := t.spool(resp)
	defer spool.Close(resp.Abort)
	buffer := make([]byte, readBufferBytes)
	for {
		n, readErr := spool.Read(buffer)
		if n > 0 || readErr == io.EOF {
			t.attemptBegun = true
			t.sendHeader(resp)
		}
		if n > 0 {
			if err := spool.Write(buffer[:n]); err != nil {
				resp.Abort()
				return true, context.Canceled
			}
		}
		if readErr == io.EOF {
			t.recordSuccess(resp)
			return true, nil
		}
		if readErr != nil {
			return t.endBody(ctx, resp, readErr)
		}
	}
}

// endBody handles a body that breaks off. Once part of it was sent, no other response may follow.
func (t *transfer) endBody(ctx context.Context, resp *exchanger.Response, cause error) (done bool, err error) {
	done, err = t.handleTruncation(ctx, resp, cause)
	if t.headerSent {
		return true, ErrTruncated
	}
	return done, err
}
