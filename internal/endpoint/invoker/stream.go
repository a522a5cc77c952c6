package invoker

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"fescuebank"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// Errors of a response stream.
var (
	errTruncated  = errors.New("response stream incomplete: no finish reason or no [DONE] marker")
	errMismatched = errors.New("response belongs to another request")
	errGap        = errors.New("gap in the token sequence")
	// errBadEvent means that an event can't be decoded.
	errBadEvent = errors.New("event is not valid JSON")
)

// forwardedOptions are the request's options that are forwarded to endpoints. All others
// are left out, so that the body contains no secret.
var forwardedOptions = []string{
	"temperature", "top_p", "top_k", "min_p", "stop", "seed", "presence_penalty", "frequency_penalty",
	"logit_bias", "response_format", "tools", "tool_choice", "logprobs", "top_logprobs",
}

// requestBody encodes the request for the endpoint.
func requestBody(req *fescuebank.CompletionRequest) ([]byte, error) {
	var options map[string]json.RawMessage
	if len(req.Body) > 0 {
		if err := json.Unmarshal(req.Body, &options); err != nil {
			return nil, err
		}
	}
	out := make(map[string]any, len(forwardedOptions))
	for _, name := range forwardedOptions {
		if value, ok := options[name]; ok {
			out[name] = value
		}
	}
	out["model"] = req.Model
	out["max_tokens"] = req.MaxTokens
	out["request_id"] = req.Request
	out["stream"] = true
	if req.Chat {
		out["messages"] = req.Messages
	} else {
		out["prompt"] = req.Prompt
	}
	if req.Resume.Tokens > 0 {
		out["resume"] = req.Resume
	}
	return json.Marshal(out)
}

// emitError wraps an error of the emit callback, as opposed to one of the endpoint.
type emitError struct {
	cause error
}

func (e *emitError) Error() string { return e.cause.Error() }

// unwrapEmit returns the emit callback's own error if err wraps one, else err.
func unwrapEmit(err error) error {
	var stop *emitError
	if errors.As(err, &stop) {
		return stop.cause
	}
	return err
}

// streamReader validates the events of one response and emits their tokens.
type streamReader struct {
	scanner    *bufio.Scanner
	request    fescuebank.RequestID
	stallTimer *watchdog
	// next is the index of the next token.
	next fescuebank.Tokens
	// finished is set after the finish reason was received.
	finished bool
}

func newStreamReader(body io.Reader, req *fescuebank.CompletionRequest, stallTimer *watchdog) *streamReader {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &streamReader{scanner: scanner, request: req.Request, stallTimer: stallTimer, next: req.Resume.Tokens}
}

// event is one event of a response stream.
type event struct {
	ID         fescuebank.RequestID `json:"id"`
	TokenIndex fescuebank.Tokens    `json:"token_index"`
	Choices    []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// run reads the stream up to the end marker.
func (s *streamReader) run(emit func(fescuebank.Delta) error) error {
	for s.scanner.Scan() {
		s.stallTimer.touch()
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), dataPrefix)
		if !ok {
			continue // Comments and empty lines only count as progress.
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			return s.finish()
		}
		if err := s.process(data, emit); err != nil {
			return err
		}
	}
	if err := s.scanner.Err(); err != nil {
		return err
	}
	return errTruncated
}

// finish reports an end marker before the finish reason as an error.
func (s *streamReader) finish() error {
	if !s.finished {
		return errTruncated
	}
	return nil
}

// process validates one event and emits its token. Repeated tokens are skipped.
func (s *streamReader) process(data []byte, emit func(fescuebank.Delta) error) error {
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("%w: %v", errBadEvent, err)
	}
	if e.ID != s.request {
		return errMismatched
	}
	if len(e.Choices) == 0 || e.TokenIndex < s.next {
		return nil
	}
	if e.TokenIndex > s.next {
		return errGap
	}
	s.next++
	delta := fescuebank.Delta{Index: e.TokenIndex, Text: e.Choices[0].Text, Finish: e.Choices[0].FinishReason}
	s.finished = s.finished || delta.Finish != ""
	s.stallTimer.pause()
	defer s.stallTimer.resume()
	if err := emit(delta); err != nil {
		return &emitError{cause: err}
	}
	return nil
}

// watchdog cancels a stream that makes no progress within the timeout.
type watchdog struct {
	clock   fescuebank.Clock
	timeout time.Duration
	cancel  context.CancelCauseFunc
	// lastRead is when a line was last read, in nanoseconds since start.
	lastRead atomic.Int64
	// paused is set while the receiver holds up the stream.
	paused atomic.Bool
	start  time.Time
}

func newWatchdog(clock fescuebank.Clock, timeout time.Duration, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{clock: clock, timeout: timeout, cancel: cancel, start: clock.Now()}
}

// touch records progress.
func (w *watchdog) touch() {
	w.lastRead.Store(int64(w.clock.Now().Sub(w.start)))
}

// pause stops the timeout until resume.
func (w *watchdog) pause() {
	w.paused.Store(true)
}

// resume restarts the timeout.
func (w *watchdog) resume() {
	w.touch()
	w.paused.Store(false)
}

// run watches for progress until ctx ends or the stream is canceled.
func (w *watchdog) run(ctx context.Context) {
	wait := w.timeout
	for fescuebank.Sleep(ctx, w.clock, wait) == nil {
		if w.paused.Load() {
			wait = w.timeout
			continue
		}
		idle := w.clock.Now().Sub(w.start) - time.Duration(w.lastRead.Load())
		if idle >= w.timeout {
			w.cancel(errNoProgress)
			return
		}
		wait = w.timeout - idle
	}
}
