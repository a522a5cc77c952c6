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

// Errors of a stream.
var (
	errNoEnd   = errors.New("stream ended without its end marker")
	errCrossed = errors.New("answer belongs to another request")
	errGap     = errors.New("tokens are missing")
	// errBadEvent means that an event can't be read.
	errBadEvent = errors.New("event is not valid JSON")
)

// passedOptions are the request's own options that endpoints may see. All
// else stays out, so that nothing secret travels in the body.
var passedOptions = []string{
	"temperature", "top_p", "top_k", "min_p", "stop", "seed", "presence_penalty", "frequency_penalty",
	"logit_bias", "response_format", "tools", "tool_choice", "logprobs", "top_logprobs",
}

// requestBody writes the request as the endpoint takes it.
func requestBody(req *fescuebank.Completion) ([]byte, error) {
	var given map[string]json.RawMessage
	if len(req.Body) > 0 {
		if err := json.Unmarshal(req.Body, &given); err != nil {
			return nil, err
		}
	}
	out := make(map[string]any, len(passedOptions))
	for _, name := range passedOptions {
		if value, ok := given[name]; ok {
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

// emitError is an error of the receiver of deltas, not of the endpoint.
type emitError struct {
	cause error
}

func (e *emitError) Error() string { return e.cause.Error() }

func unwrapEmit(err error) error {
	var stop *emitError
	if errors.As(err, &stop) {
		return stop.cause
	}
	return err
}

// streamReader checks and passes on the events of one answer.
type streamReader struct {
	scanner  *bufio.Scanner
	request  fescuebank.RequestID
	progress *watchdog
	// next is the index of the token that must come next.
	next fescuebank.Tokens
	// finished is set once the finish reason came.
	finished bool
}

func newStreamReader(body io.Reader, req *fescuebank.Completion, progress *watchdog) *streamReader {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &streamReader{scanner: scanner, request: req.Request, progress: progress, next: req.Resume.Tokens}
}

// event is one piece of an answer as the endpoint sends it.
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

// run reads to the end marker.
func (s *streamReader) run(emit func(fescuebank.Delta) error) error {
	for s.scanner.Scan() {
		s.progress.touch()
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), dataPrefix)
		if !ok {
			continue // Comments and empty lines only show progress.
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			return s.end()
		}
		if err := s.pass(data, emit); err != nil {
			return err
		}
	}
	if err := s.scanner.Err(); err != nil {
		return err
	}
	return errNoEnd
}

func (s *streamReader) end() error {
	if !s.finished {
		return errNoEnd
	}
	return nil
}

func (s *streamReader) pass(data []byte, emit func(fescuebank.Delta) error) error {
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("%w: %v", errBadEvent, err)
	}
	if e.ID != s.request {
		return errCrossed
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
	if err := emit(delta); err != nil {
		return &emitError{cause: err}
	}
	return nil
}

// watchdog ends a stream that makes no progress.
type watchdog struct {
	clock   fescuebank.Clock
	silence time.Duration
	cancel  context.CancelCauseFunc
	// last is when a byte last came, in nanoseconds since start.
	last  atomic.Int64
	start time.Time
}

func newWatchdog(clock fescuebank.Clock, silence time.Duration, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{clock: clock, silence: silence, cancel: cancel, start: clock.Now()}
}

func (w *watchdog) touch() {
	w.last.Store(int64(w.clock.Now().Sub(w.start)))
}

func (w *watchdog) run(ctx context.Context) {
	wait := w.silence
	for fescuebank.Sleep(ctx, w.clock, wait) == nil {
		quiet := w.clock.Now().Sub(w.start) - time.Duration(w.last.Load())
		if quiet >= w.silence {
			w.cancel(errSilent)
			return
		}
		wait = w.silence - quiet
	}
}
