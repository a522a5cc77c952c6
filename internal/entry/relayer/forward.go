package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"

	"fescuebank"
	"fescuebank/internal/endpoint/exchanger"
	"fescuebank/internal/endpoint/scanner"
	"fescuebank/internal/entry/allocator"
)

// errSpoiled means that an endpoint's answer is not one of its own.
var errSpoiled = errors.New("answer spoiled")

// pass passes an endpoint's answer on to the caller.
func (f *flight) pass(ctx context.Context, a *exchanger.Response) (done bool, err error) {
	success := a.StatusCode/100 == 2
	if success && (!a.Info.Signed || a.Header.Get("Content-Encoding") != "") {
		f.fail(ctx, f.endpoint, errSpoiled)
		f.runs-- // It was counted when the head came.
		return false, errSpoiled
	}
	if a.StatusCode >= http.StatusInternalServerError {
		f.verdict.note(false)
	}
	if f.started && !success {
		return false, errSpoiled
	}
	if a.StatusCode >= http.StatusInternalServerError && f.mayRepeat() {
		return false, errSpoiled
	}
	if f.request.Route.Kind == fescuebank.RouteStreaming && success {
		return f.passEvents(ctx, a)
	}
	return f.passBody(ctx, a)
}

// start sends the head once.
func (f *flight) start(a *exchanger.Response) {
	if f.started {
		return
	}
	f.started = true
	f.status = a.StatusCode
	f.first = f.clock.Now().Sub(f.request.Arrived)
	f.writer.Start(a.StatusCode, EndToEndHeaders(a.Header))
}

// passEvents passes whole events on as they come and notes their numbers.
func (f *flight) passEvents(ctx context.Context, a *exchanger.Response) (done bool, err error) {
	var events scanner.Scanner
	buffer := make([]byte, readBytes)
	for {
		if f.request.Route.Resumable {
			a.SetReadDeadline(f.clock.Now().Add(f.silence()))
		}
		n, readErr := a.Read(buffer)
		if whole := events.Feed(buffer[:n]); len(whole) > 0 {
			f.start(a)
			if err := f.writer.Write(whole); err != nil {
				a.Abort()
				return true, context.Canceled
			}
			f.last = scanner.LastID(whole, f.last)
		}
		if readErr == io.EOF {
			return f.endEvents(ctx, a, events.Partial())
		}
		if readErr != nil {
			return f.brokeOff(ctx, a, readErr)
		}
	}
}

// endEvents ends a stream that its endpoint ended. Bytes after the last whole
// event mean that the endpoint stopped within one.
func (f *flight) endEvents(ctx context.Context, a *exchanger.Response, partial bool) (done bool, err error) {
	if partial {
		return f.brokeOff(ctx, a, io.ErrUnexpectedEOF)
	}
	f.start(a)
	f.verdict.note(true)
	return true, nil
}

func (f *flight) brokeOff(ctx context.Context, a *exchanger.Response, cause error) (done bool, err error) {
	a.Abort()
	if ctx.Err() != nil {
		return true, f.giveUp(ctx, ctx.Err())
	}
	f.verdict.note(false)
	f.allotter.Exclude(f.endpoint.ID, allocator.ExclusionTime)
	f.log.Info("Answer broke off.", "request", string(f.request.ID), "endpoint", string(f.endpoint.ID),
		"lastEvent", f.last, "err", cause.Error())
	return false, cause
}

// passBody passes an answer on that is not a stream of events. A short one that
// may be asked for again is read whole first.
func (f *flight) passBody(ctx context.Context, a *exchanger.Response) (done bool, err error) {
	if f.mayRepeat() {
		body, err := io.ReadAll(io.LimitReader(a, holdBytes))
		if err != nil {
			return f.brokeOff(ctx, a, err)
		}
		f.start(a)
		if err := f.writer.Write(body); err != nil {
			return true, context.Canceled
		}
	}
	buffer := make([]byte, readBytes)
	for {
		n, readErr := a.Read(buffer)
		if n > 0 || readErr == io.EOF {
			f.start(a)
		}
		if n > 0 {
			if err := f.writer.Write(buffer[:n]); err != nil {
				a.Abort()
				return true, context.Canceled
			}
		}
		if readErr == io.EOF {
			f.verdict.note(true)
			return true, nil
		}
		if readErr != nil {
			return f.brokeOff(ctx, a, readErr)
		}
	}
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEndHeaders returns the headers that are passed on.
func EndToEndHeaders(h http.Header) http.Header {
	named := strings.Split(strings.Join(h["Connection"], ","), ",")
	passed := make(http.Header, len(h))
	for name, values := range h {
		isNamed := slices.ContainsFunc(named, func(s string) bool { return strings.EqualFold(strings.TrimSpace(s), name) })
		if !slices.Contains(hopHeaders, name) && !isNamed {
			passed[name] = values
		}
	}
	return passed
}
