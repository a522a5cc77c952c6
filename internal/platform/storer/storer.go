// Package storer is a client of the platform's object store over HTTP.
package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"fescuebank"
	"fescuebank/internal/platform/unpacker"
)

const (
	// callTimeout bounds a call other than a watch.
	callTimeout = 10 * time.Second
	// watchTimeout bounds a watch, so that a stalled connection is detected.
	watchTimeout = 40 * time.Second
	// maxResponseBytes bounds the bytes read of a response body.
	maxResponseBytes = 512 << 20
)

// Storer is the fescuebank.ObjectStore of a running daemon.
type Storer struct {
	baseURL     string
	token       string
	client      *http.Client
	rateLimiter *rateLimiter
}

// New returns a client of the store at baseURL that makes at most callsPerSecond calls,
// on average.
func New(baseURL, token string, callsPerSecond float64, clock fescuebank.Clock) *Storer {
	return &Storer{
		baseURL: strings.TrimRight(baseURL, "/"),
		token:   token,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: 3 * time.Second}).DialContext,
			MaxIdleConnsPerHost: 16,
			IdleConnTimeout:     30 * time.Second,
		}},
		rateLimiter: newRateLimiter(callsPerSecond, clock),
	}
}

// listedObject is the JSON representation of an object in the response to a list or a watch.
type listedObject struct {
	Key     string                  `json:"key"`
	Value   []byte                  `json:"value"`
	Version fescuebank.StoreVersion `json:"version"`
	Deleted bool                    `json:"deleted"`
}

// Get returns the object or ErrAbsent.
func (s *Storer) Get(ctx context.Context, key string) (fescuebank.Object, error) {
	resp, body, err := s.call(ctx, callTimeout, http.MethodGet, "/objects/"+key, nil, nil)
	if err != nil {
		return fescuebank.Object{}, eris.Wrap(err, "Storer.Get")
	}
	version, err := readVersion(resp)
	if err != nil {
		return fescuebank.Object{}, eris.Wrap(fescuebank.ErrStoreDown, "Storer.Get")
	}
	return fescuebank.Object{Key: key, Value: body, Version: version}, nil
}

// List returns the objects whose key starts with prefix.
func (s *Storer) List(ctx context.Context, prefix string) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	query := "/objects?prefix=" + url.QueryEscape(prefix)
	_, body, err := s.call(ctx, callTimeout, http.MethodGet, query, nil, nil)
	if err != nil {
		return nil, 0, eris.Wrap(err, "Storer.List")
	}
	return decodeList(body)
}

// Watch waits for changes below prefix after version from.
func (s *Storer) Watch(ctx context.Context, prefix string, from fescuebank.StoreVersion) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	query := "/watch?prefix=" + url.QueryEscape(prefix) + "&from=" + strconv.FormatUint(uint64(from), 10)
	_, body, err := s.call(ctx, watchTimeout, http.MethodGet, query, nil, nil)
	if err != nil {
		return nil, 0, eris.Wrap(err, "Storer.Watch")
	}
	return decodeList(body)
}

// Put writes value if the object still has the version expected.
func (s *Storer) Put(ctx context.Context, key string, value []byte, expected fescuebank.StoreVersion) (fescuebank.StoreVersion, error) {
	if fescuebank.Bytes(len(value)) > fescuebank.MaxValue {
		return 0, eris.Wrap(fescuebank.ErrTooLarge, "Storer.Put")
	}
	resp, _, err := s.call(ctx, callTimeout, http.MethodPut, "/objects/"+key, value, condition(expected))
	if err != nil {
		return 0, eris.Wrap(err, "Storer.Put")
	}
	version, err := readVersion(resp)
	if err != nil {
		return 0, eris.Wrap(fescuebank.ErrOutcomeUnknown, "Storer.Put")
	}
	return version, nil
}

// Delete removes the object if it still has the version expected.
func (s *Storer) Delete(ctx context.Context, key string, expected fescuebank.StoreVersion) error {
	_, _, err := s.call(ctx, callTimeout, http.MethodDelete, "/objects/"+key, nil, condition(expected))
	return eris.Wrap(err, "Storer.Delete")
}

// condition returns the header that makes a write conditional on the version expected.
func condition(expected fescuebank.StoreVersion) http.Header {
	h := http.Header{}
	if expected == fescuebank.Absent {
		h.Set("If-None-Match", "*")
		return h
	}
	h.Set("If-Match", `"`+strconv.FormatUint(uint64(expected), 10)+`"`)
	return h
}

// call makes one HTTP call and converts its failure into an error of ObjectStore.
func (s *Storer) call(ctx context.Context, timeout time.Duration, method, path string, body []byte, header http.Header) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := s.rateLimiter.wait(ctx); err != nil {
		return nil, nil, fescuebank.ErrStoreDown
	}
	req, err := http.NewRequestWithContext(ctx, method, s.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, fescuebank.ErrStoreDown
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if s.token != "" {
		req.Header.Set("Authorization", "Bearer "+s.token)
	}
	// Prevents the transport from repeating a write: the first attempt may have taken effect,
	// which the caller has to find out.
	if method != http.MethodGet {
		req.GetBody = nil
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, nil, s.transportFailure(ctx, method, err)
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, s.transportFailure(ctx, method, err)
	}
	return resp, response, statusError(method, resp.StatusCode)
}

// transportFailure converts a failure of the transport into an error of ObjectStore.
// After a time-out it closes idle connections, because they may be stalled too.
func (s *Storer) transportFailure(ctx context.Context, method string, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.client.CloseIdleConnections()
	}
	return transportError(method, err)
}

// transportError returns ErrOutcomeUnknown for a write that may have taken effect, and
// ErrStoreDown for a read or a call that was not sent.
func transportError(method string, err error) error {
	var op *net.OpError
	notSent := errors.As(err, &op) && op.Op == "dial"
	if method == http.MethodGet || notSent {
		return fescuebank.ErrStoreDown
	}
	return fescuebank.ErrOutcomeUnknown
}

// statusError returns the error of ObjectStore for an HTTP status, or nil.
func statusError(method string, status int) error {
	switch status {
	case http.StatusOK, http.StatusNoContent, http.StatusCreated:
		return nil
	case http.StatusNotFound:
		return fescuebank.ErrAbsent
	case http.StatusPreconditionFailed:
		return fescuebank.ErrVersion
	case http.StatusRequestEntityTooLarge:
		return fescuebank.ErrTooLarge
	case http.StatusGone:
		return fescuebank.ErrWatchLost
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return fescuebank.ErrStoreDown
	}
	if method == http.MethodGet {
		return fescuebank.ErrStoreDown
	}
	return fescuebank.ErrOutcomeUnknown
}

func readVersion(resp *http.Response) (fescuebank.StoreVersion, error) {
	n, err := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	return fescuebank.StoreVersion(n), err
}

// errNoList means that a response is not that to a list or a watch.
var errNoList = eris.Wrap(fescuebank.ErrStoreDown, "Storer: response is not a list")

// decodeList decodes the response to a list or a watch. Any party may have written an object, so each is decoded by itself, and
// those that can't be are left out.
func decodeList(body []byte) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	fields, err := unpacker.Fields(body)
	if err != nil {
		return nil, 0, errNoList
	}
	var version fescuebank.StoreVersion
	if err := json.Unmarshal(fields["version"], &version); err != nil {
		return nil, 0, errNoList
	}
	var entries []json.RawMessage
	if raw := fields["objects"]; len(raw) > 0 && string(raw) != "null" {
		if entries, err = unpacker.Elements(raw); err != nil {
			return nil, 0, errNoList
		}
	}
	objects := make([]fescuebank.Object, 0, len(entries))
	for _, entry := range entries {
		var o listedObject
		if json.Unmarshal(entry, &o) == nil && o.Key != "" {
			objects = append(objects, fescuebank.Object(o))
		}
	}
	return objects, version, nil
}
