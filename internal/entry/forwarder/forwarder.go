// Package forwarder forwards calls to plain services.
package forwarder

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"fescuebank"
	"fescuebank/internal/entry/authenticator"
	"fescuebank/internal/entry/deduplicator"
	"fescuebank/internal/limit/holder"
)

const (
	dialTimeout = 2 * time.Second
	// maxResponseBytes bounds a response body, which is buffered completely.
	maxResponseBytes = 32 << 20
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 256 << 10
	// memoryRetryAfter is the Retry-After of a call for whose response too little memory is left.
	memoryRetryAfter = time.Second
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
	// minAttempts is the number of attempts allowed for a call to a service with fewer
	// addresses.
	minAttempts = 3
	// maxParallelCalls is the number of calls that hedgedCall makes at most.
	maxParallelCalls = 3
)

// requestHeaders and responseHeaders are the only headers that are forwarded.
var (
	requestHeaders = []string{
		"Accept", "Accept-Language", "Content-Type", "Content-Language", "Content-Encoding",
		"If-Match", "If-None-Match", "If-Modified-Since", "Range", "User-Agent",
	}
	responseHeaders = []string{
		"Content-Type", "Content-Language", "Content-Encoding", "Content-Disposition", "Content-Range",
		"Etag", "Last-Modified", "Cache-Control", "Expires", "Vary", "Retry-After",
	}
	// secretParameters are query parameters that are removed, since they may hold a key.
	secretParameters = map[string]bool{"key": true, "api_key": true, "apikey": true, "api-key": true, "access_token": true, "token": true}
)

// Forwarder calls plain services.
type Forwarder struct {
	client *http.Client
	// unpooled never reuses a connection. It serves calls that may not be repeated, since
	// a pooled connection may already be closed by the service, and those that follow a call
	// whose connection may be stalled.
	unpooled     *http.Client
	hedger       *hedger
	deduplicator *deduplicator.Deduplicator
	memory       fescuebank.MemoryBudget
	clock        fescuebank.Clock
}

// New returns a forwarder that holds the bodies of responses within a memory budget.
func New(d *deduplicator.Deduplicator, memory fescuebank.MemoryBudget, clock fescuebank.Clock) *Forwarder {
	return &Forwarder{client: newClient(true), unpooled: newClient(false), hedger: newHedger(), deduplicator: d, memory: memory, clock: clock}
}

func newClient(reuse bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 32,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
			DisableKeepAlives:   !reuse,

			MaxResponseHeaderBytes: maxHeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Call is one call to a service.
type Call struct {
	Service *fescuebank.Service
	// Team is empty for a call without a key to an open service.
	Team fescuebank.TeamID
	// Path is the part of the URL path after the service's name.
	Path    string
	Request *http.Request
	Body    []byte
	ID      fescuebank.RequestID
	// IsKey reports whether a text is a key in force.
	IsKey func(string) bool
}

// Response is a service's response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// held holds the body if it was read from the service, else nil.
	held *holder.Holder
}

// Release returns the memory of the body, which must not be used any more.
func (r *Response) Release() {
	if r.held != nil {
		r.held.Release()
	}
}

// Forward makes the call. A call that may not be repeated is sent at most once; with an
// idempotency key it runs at most once over all resends of the caller. The caller releases the response.
func (f *Forwarder) Forward(ctx context.Context, c *Call) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Service.Timeout.Duration())
	defer cancel()
	key := c.Request.Header.Get("Idempotency-Key")
	if len(key) > maxKeyBytes {
		return nil, fescuebank.Refuse(http.StatusBadRequest, fescuebank.CodeBadRequest, "want an idempotency key of at most %d bytes", maxKeyBytes)
	}
	if c.Service.Repeatable || key == "" || isSafe(c.Request.Method) {
		return f.tryAddresses(ctx, c)
	}
	return f.forwardOnce(ctx, c, key)
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// forwardOnce makes a call with an idempotency key. It stores an intent before the call and
// the outcome after it. If the call may have run before, it returns the stored outcome, or a
// refusal if there is none.
func (f *Forwarder) forwardOnce(ctx context.Context, c *Call, key string) (*Response, error) {
	intent, stored, err := f.deduplicator.Begin(ctx, deduplicator.Call{Team: c.Team, Service: c.Service.Name, Key: key, Fingerprint: fingerprint(c)})
	if err != nil {
		return nil, err
	}
	if stored != nil {
		return &Response{Status: stored.Status, Header: http.Header{"Content-Type": {stored.ContentType}}, Body: stored.Body}, nil
	}
	resp, err := f.tryAddresses(ctx, c)
	if err == nil {
		intent.Complete(ctx, deduplicator.Outcome{Status: resp.Status, ContentType: resp.Header.Get("Content-Type"), Body: resp.Body})
		return resp, nil
	}
	if fescuebank.AsRefusal(err).State == fescuebank.NotRun {
		intent.Release(ctx)
	}
	return nil, err
}

func fingerprint(c *Call) string {
	sum := sha256.New()
	_, _ = io.WriteString(sum, c.Request.Method+" "+c.Path+"\x00")
	_, _ = sum.Write(c.Body)
	return hex.EncodeToString(sum.Sum(nil))
}

// tryAddresses tries the service's addresses in random order.
func (f *Forwarder) tryAddresses(ctx context.Context, c *Call) (*Response, error) {
	addresses := append([]string(nil), c.Service.URLs...)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	repeatable := c.Service.Repeatable || isSafe(c.Request.Method)
	mayHaveRun := false
	for n := range max(len(addresses), minAttempts) {
		resp, sent, err := f.hedgedCall(ctx, c, addresses[n%len(addresses)], addresses[(n+1)%len(addresses)], repeatable)
		if err == nil {
			return resp, nil
		}
		mayHaveRun = mayHaveRun || sent
		if errors.Is(err, holder.ErrNoMemory) {
			return nil, fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeOverloaded, "no memory is left for the response").
				WithState(fescuebank.MayHaveRun).WithRetryAfter(memoryRetryAfter)
		}
		if ctx.Err() != nil || (sent && !repeatable) {
			break
		}
	}
	state := fescuebank.NotRun
	if mayHaveRun {
		state = fescuebank.MayHaveRun
	}
	return nil, fescuebank.Refuse(http.StatusBadGateway, fescuebank.CodeEndpointLost,
		"service %q gave no whole answer", c.Service.Name).WithState(state).WithRetryAfter(time.Second)
}

// hedgedCall calls one address. If the call is repeatable and its response is late, it is
// sent to a second address too, within the hedging budget, and after half of the service's time
// limit in any case, as the connection may be stalled. The first complete response is used.
func (f *Forwarder) hedgedCall(ctx context.Context, c *Call, address, other string, repeatable bool) (*Response, bool, error) {
	if !repeatable {
		return f.call(ctx, c, address, f.unpooled)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, maxParallelCalls)
	run := func(to string, client *http.Client) {
		started := f.clock.Now()
		resp, sent, err := f.call(ctx, c, to, client)
		if err == nil {
			f.hedger.observe(c.Service.Name, f.clock.Now().Sub(started))
		}
		results <- result{response: resp, sent: sent, err: err}
	}
	go run(address, f.client)
	pending := 1
	defer func() { go releaseAll(results, pending) }()
	var late <-chan time.Time
	if address != other {
		late = f.clock.After(f.hedger.delay(c.Service.Name))
	}
	stalled := f.clock.After(c.Service.Timeout.Duration() / 2)
	sent := false
	for {
		select {
		case r := <-results:
			pending--
			sent = sent || r.sent
			if r.err == nil || pending == 0 {
				return r.response, sent, r.err
			}
		case <-late:
			late = nil
			if f.hedger.withdraw() {
				pending++
				go run(other, f.client)
			}
		case <-stalled:
			stalled = nil
			pending++
			go run(other, f.unpooled)
		}
	}
}

// result is the outcome of one call.
type result struct {
	response *Response
	sent     bool
	err      error
}

// releaseAll releases the responses of the calls that are pending, which nobody uses.
func releaseAll(results <-chan result, pending int) {
	for range pending {
		if r := <-results; r.response != nil {
			r.response.Release()
		}
	}
}

// call makes one attempt. sent is false only if no connection was obtained, so that no
// byte was sent.
func (f *Forwarder) call(ctx context.Context, c *Call, address string, client *http.Client) (response *Response, sent bool, err error) {
	var connected atomic.Bool
	written := newWriteOutcome()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { written.record(info.Err) },
	})
	target := strings.TrimRight(address, "/") + c.Path
	if query := cleanQuery(c); query != "" {
		target += "?" + query
	}
	req, err := http.NewRequestWithContext(ctx, c.Request.Method, target, bytes.NewReader(c.Body))
	if err != nil {
		return nil, false, err
	}
	// Keeps the transport from retrying by itself.
	req.GetBody = nil
	for _, name := range requestHeaders {
		if values := c.Request.Header.Values(name); len(values) > 0 {
			req.Header[name] = values
		}
	}
	req.Header.Set(fescuebank.HeaderRequestID, string(c.ID))
	resp, err := client.Do(req)
	if err != nil {
		return nil, connected.Load(), err
	}
	defer resp.Body.Close()
	if !fescuebank.IsFinalStatus(resp.StatusCode) {
		return nil, true, errNoFinalStatus
	}
	held := holder.New(f.memory)
	err = held.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1), -1)
	if err == nil && len(held.Bytes()) > maxResponseBytes {
		err = errors.New("response too large")
	}
	if err == nil && isCloseDelimited(resp) && !written.succeeded(ctx) {
		err = errMayBeReset
	}
	if err != nil {
		held.Release()
		return nil, true, err
	}
	response = &Response{Status: resp.StatusCode, Header: http.Header{}, Body: held.Bytes(), held: held}
	for _, name := range responseHeaders {
		if values := resp.Header.Values(name); len(values) > 0 {
			response.Header[name] = values
		}
	}
	return response, true, nil
}

// errNoFinalStatus means that a service responded with a status that no response to a call can have.
var errNoFinalStatus = errors.New("response without a final status")

// errMayBeReset means that a response ended with its connection before the request was written. Of a reset that the write
// reports, the reads only see the end.
var errMayBeReset = errors.New("connection ended before the request was written")

// isCloseDelimited reports whether only the end of the connection shows the end of the body.
func isCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// cleanQuery returns the query without parameters that are or may be keys.
func cleanQuery(c *Call) string {
	presented, _ := authenticator.KeyOf(c.Request)
	query := url.Values{}
	for name, values := range c.Request.URL.Query() {
		if secretParameters[strings.ToLower(name)] {
			continue
		}
		for _, value := range values {
			if value != presented && !c.IsKey(value) {
				query.Add(name, value)
			}
		}
	}
	return query.Encode()
}
