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
	// dialTimeout bounds connecting to the endpoint.
	dialTimeout = 2 * time.Second
	// reportTimeout bounds the request for a load report.
	reportTimeout = 2 * time.Second
	// commandTimeout bounds a command. Loading a model can take minutes.
	commandTimeout = 10 * time.Minute
	// maxErrorBodyBytes bounds the bytes read of an error response or a load report.
	maxErrorBodyBytes = 64 << 10
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 256 << 10
	// maxIdleConns is the number of idle connections kept to the endpoint.
	maxIdleConns = 64
)

// errNoProgress is the cause of cancellation of a stream without progress.
var errNoProgress = errors.New("no data received within the progress timeout")

// Invoker is the HTTP client of one endpoint. It implements fescuebank.Endpoint.
type Invoker struct {
	spec            fescuebank.EndpointSpec
	clock           fescuebank.Clock
	progressTimeout time.Duration
	client          *http.Client
}

// New returns an invoker that cancels a stream if no line arrives within progressTimeout.
func New(spec fescuebank.EndpointSpec, clock fescuebank.Clock, progressTimeout time.Duration) *Invoker {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &Invoker{spec: spec, clock: clock, progressTimeout: progressTimeout, client: &http.Client{Transport: transport}}
}

// Spec returns the endpoint's description.
func (i *Invoker) Spec() fescuebank.EndpointSpec {
	return i.spec
}

// Close closes idle connections.
func (i *Invoker) Close() {
	i.client.CloseIdleConnections()
}

// Complete sends the request and streams the tokens to emit, in order and each one once.
func (i *Invoker) Complete(ctx context.Context, req *fescuebank.CompletionRequest, emit func(fescuebank.Delta) error) error {
	body, err := requestBody(req)
	if err != nil {
		return i.endpointError(fescuebank.EndpointRejected, 0, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := newWatchdog(i.clock, i.progressTimeout, cancel)
	go stallTimer.run(ctx)
	resp, err := i.send(ctx, req, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return i.statusError(resp)
	}
	reader := newStreamReader(resp.Body, req, stallTimer)
	err = reader.run(emit)
	var stop *emitError
	if err == nil || errors.As(err, &stop) {
		return unwrapEmit(err)
	}
	if cause := context.Cause(ctx); errors.Is(cause, errNoProgress) {
		// Idle connections may be stalled in the same way.
		i.client.CloseIdleConnections()
		err = cause
	}
	return i.endpointError(errorKind(err), 0, err)
}

// errorKind distinguishes a lost connection from a response that is invalid or stalled.
func errorKind(err error) fescuebank.EndpointErrorKind {
	if errors.Is(err, errNoProgress) || errors.Is(err, errMismatched) || errors.Is(err, errGap) || errors.Is(err, errBadEvent) {
		return fescuebank.EndpointBroken
	}
	return fescuebank.EndpointLost
}

// send sends the request and returns the response head. The kind of the error shows
// whether the endpoint may have received any byte of the request.
func (i *Invoker) send(ctx context.Context, req *fescuebank.CompletionRequest, body []byte) (*http.Response, error) {
	path := "/v1/completions"
	if req.Chat {
		path = "/v1/chat/completions"
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, i.spec.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, i.endpointError(fescuebank.EndpointUnreachable, 0, err)
	}
	out.Header.Set("Content-Type", "application/json")
	out.Header.Set(fescuebank.HeaderRequestID, string(req.Request))
	resp, err := i.client.Do(out)
	if err == nil {
		return resp, nil
	}
	if cause := context.Cause(ctx); errors.Is(cause, errNoProgress) {
		i.client.CloseIdleConnections()
		err = cause
	}
	if connected.Load() {
		return nil, i.endpointError(errorKind(err), 0, err)
	}
	return nil, i.endpointError(fescuebank.EndpointUnreachable, 0, err)
}

// statusError turns an error response into an EndpointError.
func (i *Invoker) statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	cause := fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	switch {
	case resp.Header.Get(fescuebank.HeaderRunState) == string(fescuebank.NotRun):
		return i.endpointError(fescuebank.EndpointRefused, resp.StatusCode, cause)
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return i.endpointError(fescuebank.EndpointRejected, resp.StatusCode, cause)
	}
	return i.endpointError(fescuebank.EndpointBroken, resp.StatusCode, cause)
}

// endpointError returns an EndpointError of this endpoint.
func (i *Invoker) endpointError(kind fescuebank.EndpointErrorKind, status int, cause error) error {
	return &fescuebank.EndpointError{Endpoint: i.spec.ID, Kind: kind, Status: status, Cause: cause}
}

// Report requests the endpoint's load report.
func (i *Invoker) Report(ctx context.Context) (fescuebank.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var report fescuebank.LoadReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, i.spec.URL+"/v1/load", nil)
	if err != nil {
		return report, i.endpointError(fescuebank.EndpointUnreachable, 0, err)
	}
	resp, err := i.client.Do(req)
	if err != nil {
		return report, i.endpointError(fescuebank.EndpointUnreachable, 0, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report, i.statusError(resp)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBodyBytes)).Decode(&report); err != nil {
		return report, i.endpointError(fescuebank.EndpointBroken, resp.StatusCode, err)
	}
	return report, nil
}

// SendCommand sends a command to the endpoint and waits for the outcome.
func (i *Invoker) SendCommand(ctx context.Context, command fescuebank.Command) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	body, err := json.Marshal(command)
	if err != nil {
		return i.endpointError(fescuebank.EndpointUnreachable, 0, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, i.spec.URL+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return i.endpointError(fescuebank.EndpointUnreachable, 0, err)
	}
	resp, err := i.client.Do(req)
	if err != nil {
		return i.endpointError(fescuebank.EndpointBroken, 0, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return i.statusError(resp)
	}
	return nil
}
