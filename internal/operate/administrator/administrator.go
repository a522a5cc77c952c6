// Package administrator serves the operators' API and console.
package administrator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strings"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/batch/submitter"
	"fescuebank/internal/config/publisher"
	"fescuebank/internal/config/withdrawer"
	"fescuebank/internal/operate/console"
	"fescuebank/internal/operate/evaluator"
)

// maxDocumentBytes bounds the size of a desired state.
const maxDocumentBytes = 64 << 20

// Fleet provides the state of all instances.
type Fleet interface {
	// FleetStatus returns the states of the instances that respond and the ids of
	// those that don't.
	FleetStatus(ctx context.Context) ([]fescuebank.InstanceStatus, []fescuebank.InstanceID)
}

// Config holds the dependencies of an Administrator.
type Config struct {
	Publisher  *publisher.Publisher
	Withdrawer *withdrawer.Withdrawer
	Directory  fescuebank.Directory
	Source     fescuebank.ConfigSource
	Fleet      Fleet
	Operators  fescuebank.OperatorSettings
	Submitter  *submitter.Submitter
	Log        hclog.Logger
}

// Administrator handles requests to the operators' address.
type Administrator struct {
	Config
}

// New returns an administrator.
func New(c Config) *Administrator {
	return &Administrator{Config: c}
}

// Handler returns the handler of all routes, which requires an operator's credentials.
func (a *Administrator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/config", a.api(a.getConfig))
	mux.HandleFunc("PUT /api/config", a.api(a.putConfig))
	mux.HandleFunc("GET /api/teams/{team}", a.api(a.getTeam))
	mux.HandleFunc("POST /api/teams/{team}/keys", a.api(a.grantKey))
	mux.HandleFunc("POST /api/withdrawals", a.api(a.withdrawKey))
	mux.HandleFunc("GET /api/status", a.api(a.getStatus))
	mux.HandleFunc("GET /api/burn", a.api(a.getBurn))
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.Handle("/", console.New(backend{a}, a.Log).Handler())
	return a.authenticated(mux)
}

// authenticated passes on only requests with an operator's credentials. It compares
// them in constant time.
func (a *Administrator) authenticated(next http.Handler) http.Handler {
	want, _ := hex.DecodeString(a.Operators.PasswordSHA256) // The settings have been validated.
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		user, password, ok := r.BasicAuth()
		got := sha256.Sum256([]byte(password))
		sameUser := subtle.ConstantTimeCompare([]byte(user), []byte(a.Operators.User))
		samePassword := subtle.ConstantTimeCompare(got[:], want)
		if !ok || sameUser&samePassword != 1 {
			w.Header().Set("WWW-Authenticate", `Basic realm="fescuebank operators"`)
			http.Error(w, "want an operator's credentials", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ErrorBody is the JSON body of an error response of the API.
type ErrorBody struct {
	Error string `json:"error"`
	// Faults is set for an invalid document.
	Faults []fescuebank.Fault `json:"faults,omitempty"`
	// Current is the generation in force; it is set for a conflict.
	Current fescuebank.Generation `json:"current,omitempty"`
}

// api returns a handler that writes the result of f as JSON.
func (a *Administrator) api(f func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxDocumentBytes)
		result, err := f(r)
		w.Header().Set("Content-Type", "application/json")
		if err != nil {
			status, body := errorResponse(err)
			a.Log.Info("Operator's request failed.", "path", r.URL.Path, "status", status, "err", err)
			w.WriteHeader(status)
			result = body
		}
		_ = json.NewEncoder(w).Encode(result)
	}
}

func errorResponse(err error) (int, ErrorBody) {
	var faults *fescuebank.Faults
	var conflict *publisher.ConflictError
	var refusal *fescuebank.Refusal
	switch {
	case errors.As(err, &faults):
		return http.StatusUnprocessableEntity, ErrorBody{Error: "the document has faults", Faults: faults.List}
	case errors.As(err, &conflict):
		return http.StatusConflict, ErrorBody{Error: conflict.Error(), Current: conflict.Current}
	case errors.As(err, &refusal):
		return refusal.Status, ErrorBody{Error: refusal.Message}
	case errors.Is(err, fescuebank.ErrOutcomeUnknown):
		return http.StatusServiceUnavailable, ErrorBody{Error: "the store's answer was lost; the change may be in force: read the configuration before trying again"}
	case errors.Is(err, fescuebank.ErrStoreDown):
		return http.StatusServiceUnavailable, ErrorBody{Error: "the store is down; nothing was changed"}
	}
	return http.StatusInternalServerError, ErrorBody{Error: err.Error()}
}

func (a *Administrator) getConfig(r *http.Request) (any, error) {
	return a.Publisher.Current(r.Context())
}

// ApplyResponse is the response to a change of the configuration.
type ApplyResponse struct {
	Generation fescuebank.Generation `json:"generation"`
}

func (a *Administrator) putConfig(r *http.Request) (any, error) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, fescuebank.Refuse(http.StatusRequestEntityTooLarge, fescuebank.CodeTooLarge, "want a document of at most %d bytes", maxDocumentBytes)
	}
	d, err := fescuebank.ParseDesiredState(text)
	if err != nil {
		return nil, err
	}
	g, err := a.Publisher.Apply(r.Context(), d)
	return ApplyResponse{Generation: g}, err
}

// unknownTeam returns the error for a team that doesn't exist.
func unknownTeam(id fescuebank.TeamID) error {
	return fescuebank.Refuse(http.StatusNotFound, fescuebank.CodeNotFound, "no team %q", id)
}

func (a *Administrator) getTeam(r *http.Request) (any, error) {
	d, err := a.Publisher.Current(r.Context())
	if err != nil {
		return nil, err
	}
	id := fescuebank.TeamID(r.PathValue("team"))
	for _, t := range d.Teams {
		if t.ID == id {
			return t, nil
		}
	}
	return nil, unknownTeam(id)
}

// GrantRequest is the request for a new key.
type GrantRequest struct {
	Label string `json:"label"`
}

// GrantResponse holds a new key. Only its hash is stored, so that the key can't be shown
// again.
type GrantResponse struct {
	Key        string                `json:"key"`
	Hash       fescuebank.KeyHash    `json:"hash"`
	Generation fescuebank.Generation `json:"generation"`
}

func (a *Administrator) grantKey(r *http.Request) (any, error) {
	var request GrantRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return nil, fescuebank.Refuse(http.StatusBadRequest, fescuebank.CodeBadRequest, "the body is not valid JSON: %v", err)
	}
	return a.grant(r.Context(), fescuebank.TeamID(r.PathValue("team")), request.Label)
}

func (a *Administrator) grant(ctx context.Context, id fescuebank.TeamID, label string) (GrantResponse, error) {
	key := fescuebank.NewKey()
	teamKey := fescuebank.TeamKey{Hash: fescuebank.HashKey(key), Label: label}
	g, err := a.Publisher.Edit(ctx, func(d *fescuebank.DesiredState) error {
		for i := range d.Teams {
			if d.Teams[i].ID == id {
				d.Teams[i].Keys = append(d.Teams[i].Keys, teamKey)
				return nil
			}
		}
		return unknownTeam(id)
	})
	return GrantResponse{Key: key, Hash: teamKey.Hash, Generation: g}, err
}

// WithdrawRequest identifies a key by its text, its hash, or a prefix of its hash of at
// least eight digits.
type WithdrawRequest struct {
	Key  string `json:"key,omitempty"`
	Hash string `json:"hash,omitempty"`
}

// WithdrawResponse is the response to a withdrawal.
type WithdrawResponse struct {
	Hash fescuebank.KeyHash `json:"hash"`
	// Stored is false if the withdrawal could not be written to the store. It is in
	// force on this instance and the peers it reached even so, and the write is
	// retried.
	Stored bool `json:"stored"`
}

func (a *Administrator) withdrawKey(r *http.Request) (any, error) {
	var request WithdrawRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return nil, fescuebank.Refuse(http.StatusBadRequest, fescuebank.CodeBadRequest, "the body is not valid JSON: %v", err)
	}
	h, err := a.findKey(request)
	if err != nil {
		return nil, err
	}
	return WithdrawResponse{Hash: h, Stored: a.withdraw(r.Context(), h)}, nil
}

// withdraw withdraws a key and reports whether the withdrawal was stored.
func (a *Administrator) withdraw(ctx context.Context, h fescuebank.KeyHash) bool {
	stored := a.Withdrawer.Withdraw(ctx, h, a.Directory.Instances())
	a.Log.Info("Key withdrawn.", "hash", h.String()[:8], "stored", stored)
	var err error
	if stored {
		// Until the key is removed from its team, the withdrawal alone disables it.
		_, err = a.Publisher.Edit(ctx, func(d *fescuebank.DesiredState) error {
			for i := range d.Teams {
				d.Teams[i].Keys = removeKey(d.Teams[i].Keys, h)
			}
			return nil
		})
	}
	if err != nil {
		a.Log.Warn("Withdrawn key not removed from its team.", "err", err)
	}
	return stored
}

func removeKey(keys []fescuebank.TeamKey, h fescuebank.KeyHash) []fescuebank.TeamKey {
	remaining := make([]fescuebank.TeamKey, 0, len(keys))
	for _, k := range keys {
		if k.Hash != h {
			remaining = append(remaining, k)
		}
	}
	return remaining
}

// minHashPrefix is the minimum number of digits of a hash prefix.
const minHashPrefix = 8

func (a *Administrator) findKey(request WithdrawRequest) (fescuebank.KeyHash, error) {
	if request.Key != "" {
		return fescuebank.HashKey(request.Key), nil
	}
	var h fescuebank.KeyHash
	if h.UnmarshalText([]byte(request.Hash)) == nil {
		return h, nil
	}
	if len(request.Hash) < minHashPrefix {
		return h, fescuebank.Refuse(http.StatusBadRequest, fescuebank.CodeBadRequest, "want a key, or %d or more digits of its hash", minHashPrefix)
	}
	matches := 0
	for known := range a.Source.Current().Keys {
		if strings.HasPrefix(known.String(), strings.ToLower(request.Hash)) {
			h = known
			matches++
		}
	}
	if matches != 1 {
		return h, fescuebank.Refuse(http.StatusNotFound, fescuebank.CodeNotFound, "%d keys have such a hash", matches)
	}
	return h, nil
}

// StatusResponse holds the state of all instances.
type StatusResponse struct {
	Instances []fescuebank.InstanceStatus `json:"instances"`
	// Missing lists the instances that did not respond.
	Missing []fescuebank.InstanceID `json:"missing"`
}

func (a *Administrator) getStatus(r *http.Request) (any, error) {
	instances, missing := a.Fleet.FleetStatus(r.Context())
	return StatusResponse{Instances: instances, Missing: missing}, nil
}

func (a *Administrator) getBurn(r *http.Request) (any, error) {
	return a.Burn(r.Context()), nil
}

// Burn returns the report on service levels, from the counts of all instances.
func (a *Administrator) Burn(ctx context.Context) evaluator.Report {
	instances, missing := a.Fleet.FleetStatus(ctx)
	var levels [][]fescuebank.TeamServiceLevels
	for _, i := range instances {
		levels = append(levels, i.Levels)
	}
	report := evaluator.Evaluator{}.Evaluate(levels, a.Source.Current().State.Objectives)
	report.Missing = missing
	return report
}
