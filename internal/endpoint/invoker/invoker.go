// Package invoker sends requests to one model endpoint.
package invoker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"fescuebank"
)

const (
	dialTimeout = 2 * time.Second
	// reportTimeout bounds reading a load report.
	reportTimeout = 2 * time.Second
	// orderTimeout bounds an order; loading a model takes long.
	orderTimeout = 10 * time.Minute
	maxErrorBody = 64 << 10
	// keepConns is the number of idle connections kept to the endpoint.
	keepConns = 64
)

// errSilent is the cause by which a stream without progress ends.
var errSilent = errors.New("no progress")

// Invoker is the fescuebank.Endpoint of a running daemon.
type Invoker struct {
	spec    fescuebank.EndpointSpec
	clock   fescuebank.Clock
	silence time.Duration
	client  *http.Client
}

// New returns an invoker that gives up on a stream after silence without a byte.
func New(spec fescuebank.EndpointSpec, clock fescuebank.Clock, silence time.Duration) *Invoker {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: keepConns,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &Invoker{spec: spec, clock: clock, silence: silence, client: &http.Client{Transport: transport}}
}

// Spec returns the endpoint's description.
func (c *Invoker) Spec() fescuebank.EndpointSpec {
	return c.spec
}

// Close drops idle connections.
func (c *Invoker) Close() {
	c.client.CloseIdleConnections()
}

// Complete streams the answer to emit, in order and each token once.
func (c *Invoker) Complete(ctx context.Context, req *fescuebank.Completion, emit func(fescuebank.Delta) error) error {
	body, err := requestBody(req)
	if err != nil {
		return c.fail(fescuebank.EndpointRejected, 0, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	progress := newWatchdog(c.clock, c.silence, cancel)
	go progress.run(ctx)
	resp, err := c.send(ctx, req, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return c.refusal(resp)
	}
	reader := newStreamReader(resp.Body, req, progress)
	err = reader.run(emit)
	var stop *emitError
	if err == nil || errors.As(err, &stop) {
		return unwrapEmit(err)
	}
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		// Idle connections may have gone silent in the same way.
		c.client.CloseIdleConnections()
		err = cause
	}
	return c.fail(breakKind(err), 0, err)
}

// breakKind tells a connection that broke from an answer that is wrong or late.
func breakKind(err error) fescuebank.EndpointErrorKind {
	if errors.Is(err, errSilent) || errors.Is(err, errCrossed) || errors.Is(err, errGap) || errors.Is(err, errBadEvent) {
		return fescuebank.EndpointBroken
	}
	return fescuebank.EndpointLost
}

// send offers the request. The error tells whether any byte of it left.
func (c *Invoker) send(ctx context.Context, req *fescuebank.Completion, body []byte) (*http.Response, error) {
	path := "/v1/completions"
	if req.Chat {
		path = "/v1/chat/completions"
	}
	var offered atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { offered.Store(true) }}
	out, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.spec.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, c.fail(fescuebank.EndpointUnreached, 0, err)
	}
	out.Header.Set("Content-Type", "application/json")
	out.Header.Set(fescuebank.HeaderRequestID, string(req.Request))
	resp, err := c.client.Do(out)
	if err == nil {
		return resp, nil
	}
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		c.client.CloseIdleConnections()
		err = cause
	}
	if offered.Load() {
		return nil, c.fail(breakKind(err), 0, err)
	}
	return nil, c.fail(fescuebank.EndpointUnreached, 0, err)
}

// refusal turns an error answer into an error that says what is known.
func (c *Invoker) refusal(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	cause := fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	switch {
	case resp.Header.Get(fescuebank.HeaderRunState) == string(fescuebank.NotRun):
		return c.fail(fescuebank.EndpointRefused, resp.StatusCode, cause)
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return c.fail(fescuebank.EndpointRejected, resp.StatusCode, cause)
	}
	return c.fail(fescuebank.EndpointBroken, resp.StatusCode, cause)
}

func (c *Invoker) fail(kind fescuebank.EndpointErrorKind, status int, cause error) error {
	return &fescuebank.EndpointError{Endpoint: c.spec.ID, Kind: kind, Status: status, Cause: cause}
}

// Report reads the endpoint's load report.
func (c *Invoker) Report(ctx context.Context) (fescuebank.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var report fescuebank.LoadReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.spec.URL+"/v1/load", nil)
	if err != nil {
		return report, c.fail(fescuebank.EndpointUnreached, 0, err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return report, c.fail(fescuebank.EndpointUnreached, 0, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBody)).Decode(&report); err != nil {
		return report, c.fail(fescuebank.EndpointBroken, resp.StatusCode, err)
	}
	return report, nil
}

// SendCommand gives the endpoint an order.
func (c *Invoker) SendCommand(ctx context.Context, o fescuebank.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return c.fail(fescuebank.EndpointUnreached, 0, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.spec.URL+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return c.fail(fescuebank.EndpointUnreached, 0, err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return c.fail(fescuebank.EndpointBroken, 0, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return c.refusal(resp)
	}
	return nil
}
