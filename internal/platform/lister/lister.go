// Package lister reads and updates the platform's list of instances over HTTP. The list
// lags behind changes.
package lister

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"fescuebank"
)

const (
	// callTimeout bounds one HTTP call.
	callTimeout = 5 * time.Second
	// maxResponseBytes bounds the bytes read of a response body.
	maxResponseBytes = 8 << 20
)

// Lister is the fescuebank.InstanceList of a running daemon.
type Lister struct {
	baseURL string
	token   string
	client  *http.Client
}

// New returns a lister for the platform at baseURL.
func New(baseURL, token string) *Lister {
	return &Lister{baseURL: strings.TrimRight(baseURL, "/"), token: token, client: &http.Client{Timeout: callTimeout}}
}

// Instances returns the live and the leaving instances, as of some time ago.
func (l *Lister) Instances(ctx context.Context) ([]fescuebank.ListedInstance, error) {
	body, err := l.call(ctx, http.MethodGet, nil)
	if err != nil {
		return nil, eris.Wrap(err, "Lister.Instances")
	}
	var list []fescuebank.ListedInstance
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, eris.Wrap(err, "Lister.Instances")
	}
	return list, nil
}

// Announce registers the state of an instance with the platform.
func (l *Lister) Announce(ctx context.Context, i fescuebank.ListedInstance) error {
	body, err := json.Marshal(i)
	if err != nil {
		return eris.Wrap(err, "Lister.Announce")
	}
	_, err = l.call(ctx, http.MethodPut, body)
	return eris.Wrap(err, "Lister.Announce")
}

func (l *Lister) call(ctx context.Context, method string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, l.baseURL+"/instances", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if l.token != "" {
		req.Header.Set("Authorization", "Bearer "+l.token)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, fescuebank.ErrStoreDown
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fescuebank.ErrStoreDown
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
}
