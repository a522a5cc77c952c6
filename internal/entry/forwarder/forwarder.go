// Package forwarder passes calls on to plain services.
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
)

const (
	dialTimeout = 2 * time.Second
	// maxAnswer bounds an answer that is read whole.
	maxAnswer = 32 << 20
	// maxKey bounds an idempotency key.
	maxKey = 255
	// repeatAttempts is how often a call that may be repeated is tried.
	repeatAttempts = 3
)

// passedHeaders and returnedHeaders are the only headers that go through.
var (
	passedHeaders = []string{
		"Accept", "Accept-Language", "Content-Type", "Content-Language", "Content-Encoding",
		"If-Match", "If-None-Match", "If-Modified-Since", "Range", "User-Agent",
	}
	returnedHeaders = []string{
		"Content-Type", "Content-Language", "Content-Encoding", "Content-Disposition", "Content-Range",
		"Etag", "Last-Modified", "Cache-Control", "Expires", "Vary", "Retry-After",
	}
	// secretParameters are taken out of the query.
	secretParameters = map[string]bool{"key": true, "api_key": true, "apikey": true, "api-key": true, "access_token": true, "token": true}
)

// Forwarder calls services.
type Forwarder struct {
	client *http.Client
	// fresh never reuses a connection, so that a call that may not be repeated
	// isn't offered on one that the other side has given up.
	fresh    *http.Client
	hedges   *hedger
	intender *deduplicator.Deduplicator
	clock    fescuebank.Clock
}

// New returns a forwarder.
func New(i *deduplicator.Deduplicator, clock fescuebank.Clock) *Forwarder {
	return &Forwarder{client: newClient(true), fresh: newClient(false), hedges: newHedger(), intender: i, clock: clock}
}

func newClient(reuse bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 32,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
			DisableKeepAlives:   !reuse,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Call is one call to a service.
type Call struct {
	Service *fescuebank.Service
	// Team is empty on an open route without a key.
	Team fescuebank.TeamID
	// Path is what follows the service's name.
	Path    string
	Request *http.Request
	Body    []byte
	ID      fescuebank.RequestID
	// IsKey reports whether a text is a key in force.
	IsKey func(string) bool
}

// Response is a service's answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Forward makes the call. A call that may not be repeated is offered once; with
// an idempotency key it is made once over all resends.
func (f *Forwarder) Forward(ctx context.Context, c *Call) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Service.Timeout.Duration())
	defer cancel()
	key := c.Request.Header.Get("Idempotency-Key")
	if len(key) > maxKey {
		return nil, fescuebank.Refuse(http.StatusBadRequest, fescuebank.CodeBadRequest, "want an idempotency key of at most %d bytes", maxKey)
	}
	if c.Service.Repeatable || key == "" || isSafe(c.Request.Method) {
		return f.attempts(ctx, c)
	}
	return f.once(ctx, c, key)
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// once makes the call under a durable intent.
func (f *Forwarder) once(ctx context.Context, c *Call, key string) (*Response, error) {
	intent, kept, err := f.intender.Begin(ctx, deduplicator.Call{Team: c.Team, Service: c.Service.Name, Key: key, Fingerprint: fingerprint(c)})
	if err != nil {
		return nil, err
	}
	if kept != nil {
		return &Response{Status: kept.Status, Header: http.Header{"Content-Type": {kept.ContentType}}, Body: kept.Body}, nil
	}
	answer, err := f.attempts(ctx, c)
	if err == nil {
		intent.Complete(ctx, deduplicator.Outcome{Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: answer.Body})
		return answer, nil
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

// attempts tries the service's addresses in random order.
func (f *Forwarder) attempts(ctx context.Context, c *Call) (*Response, error) {
	addresses := append([]string(nil), c.Service.URLs...)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	repeatable := c.Service.Repeatable || isSafe(c.Request.Method)
	mayHaveRun := false
	for n := range max(len(addresses), repeatAttempts) {
		answer, offered, err := f.attempt(ctx, c, addresses[n%len(addresses)], addresses[(n+1)%len(addresses)], repeatable)
		if err == nil {
			return answer, nil
		}
		mayHaveRun = mayHaveRun || offered
		if ctx.Err() != nil || (offered && !repeatable) {
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

// attempt makes one attempt. A call that may be repeated and is late is made at
// a second address too, within the budget; the first answer counts.
func (f *Forwarder) attempt(ctx context.Context, c *Call, address, other string, repeatable bool) (*Response, bool, error) {
	if !repeatable || address == other {
		return f.call(ctx, c, address, repeatable)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	run := func(to string) {
		started := f.clock.Now()
		a, offered, err := f.call(ctx, c, to, true)
		if err == nil {
			f.hedges.observe(c.Service.Name, f.clock.Now().Sub(started))
		}
		results <- result{answer: a, offered: offered, err: err}
	}
	go run(address)
	running := 1
	late := f.clock.After(f.hedges.delay(c.Service.Name))
	offered := false
	for {
		select {
		case r := <-results:
			running--
			offered = offered || r.offered
			if r.err == nil || running == 0 {
				return r.answer, offered, r.err
			}
		case <-late:
			late = nil
			if f.hedges.spend() {
				running++
				go run(other)
			}
		}
	}
}

// result is how a call ended.
type result struct {
	answer  *Response
	offered bool
	err     error
}

// call makes one attempt. offered is false only if no byte left.
func (f *Forwarder) call(ctx context.Context, c *Call, address string, repeatable bool) (answer *Response, offered bool, err error) {
	client := f.fresh
	if repeatable {
		// A connection that fell silent must leave time for another attempt.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Service.Timeout.Duration()/2)
		defer cancel()
		client = f.client
	}
	var got atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }})
	target := strings.TrimRight(address, "/") + c.Path
	if query := cleanQuery(c); query != "" {
		target += "?" + query
	}
	req, err := http.NewRequestWithContext(ctx, c.Request.Method, target, bytes.NewReader(c.Body))
	if err != nil {
		return nil, false, err
	}
	// The transport must not repeat a call by itself.
	req.GetBody = nil
	for _, name := range passedHeaders {
		if values := c.Request.Header.Values(name); len(values) > 0 {
			req.Header[name] = values
		}
	}
	req.Header.Set(fescuebank.HeaderRequestID, string(c.ID))
	resp, err := client.Do(req)
	if err != nil {
		return nil, got.Load(), err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errors.New("answer too large")
	}
	if err != nil {
		return nil, true, err
	}
	answer = &Response{Status: resp.StatusCode, Header: http.Header{}, Body: body}
	for _, name := range returnedHeaders {
		if values := resp.Header.Values(name); len(values) > 0 {
			answer.Header[name] = values
		}
	}
	return answer, true, nil
}

// cleanQuery returns the query without anything that is or may be a key.
func cleanQuery(c *Call) string {
	presented, _ := authenticator.KeyOf(c.Request)
	kept := url.Values{}
	for name, values := range c.Request.URL.Query() {
		if secretParameters[strings.ToLower(name)] {
			continue
		}
		for _, value := range values {
			if value != presented && !c.IsKey(value) {
				kept.Add(name, value)
			}
		}
	}
	return kept.Encode()
}
