// Package gateway serves the callers' HTTP interface.
package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/batch/exporter"
	"fescuebank/internal/batch/submitter"
	"fescuebank/internal/config/withdrawer"
	"fescuebank/internal/entry/authenticator"
	"fescuebank/internal/entry/drainer"
	"fescuebank/internal/entry/errorwriter"
	"fescuebank/internal/entry/forwarder"
	"fescuebank/internal/entry/locator"
	"fescuebank/internal/entry/router"
)

// Admitter enforces the teams' rates.
type Admitter interface {
	Admit(ctx context.Context, team fescuebank.TeamID) error
}

// Observer receives the outcomes of requests.
type Observer interface {
	// RequestEnded reports the end of an online request, and the refusal of any request
	// above its team's rate. err is nil if the response was complete.
	RequestEnded(team fescuebank.TeamID, err error)
}

// Config holds the dependencies of a Gateway.
type Config struct {
	Source        fescuebank.ConfigSource
	Authenticator *authenticator.Authenticator
	Withdrawer    *withdrawer.Withdrawer
	Admitter      Admitter
	Router        *router.Router
	Locator       *locator.Locator
	Submitter     *submitter.Submitter
	Exporter      *exporter.Exporter
	Forwarder     *forwarder.Forwarder
	Drainer       *drainer.Drainer
	Observer      Observer
	Limits        fescuebank.LimitSettings
	Timing        fescuebank.TimingSettings
	Clock         fescuebank.Clock
	Log           hclog.Logger
}

// Gateway is the HTTP handler for callers.
type Gateway struct {
	Config
	errorWriter errorwriter.ErrorWriter
}

// New returns a gateway.
func New(c Config) *Gateway {
	return &Gateway{Config: c}
}

// Handler returns the handler of all routes.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", g.authenticated(g.serveInstances))
	mux.HandleFunc("GET /v1/models", g.authenticated(g.serveModels))
	mux.HandleFunc("POST /v1/completions", g.authenticated(g.rateLimited(g.serveCompletion(false))))
	mux.HandleFunc("POST /v1/chat/completions", g.authenticated(g.rateLimited(g.serveCompletion(true))))
	mux.HandleFunc("POST /v1/files", g.authenticated(g.rateLimited(g.serveUpload)))
	mux.HandleFunc("GET /v1/files/{id}", g.authenticated(g.serveFile))
	mux.HandleFunc("GET /v1/files/{id}/content", g.authenticated(g.serveFileContent))
	mux.HandleFunc("POST /v1/batches", g.authenticated(g.rateLimited(g.serveSubmit)))
	mux.HandleFunc("GET /v1/batches", g.authenticated(g.serveJobs))
	mux.HandleFunc("GET /v1/batches/{id}", g.authenticated(g.serveJob))
	mux.HandleFunc("POST /v1/batches/{id}/cancel", g.authenticated(g.serveCancel))
	mux.HandleFunc("/s/{service}/{path...}", g.serveService)
	mux.HandleFunc("GET /healthz", g.serveHealth)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		g.errorWriter.Write(w, "", fescuebank.Refuse(http.StatusNotFound, fescuebank.CodeNotFound, "no such path"))
	})
	return mux
}

// call is one request with its caller.
type call struct {
	id     fescuebank.RequestID
	caller authenticator.Caller
}

// handler serves a call. It returns an error only if nothing was written yet.
type handler func(w http.ResponseWriter, r *http.Request, c *call) error

// authenticated rejects requests without a valid key, and cancels a request when its key
// is withdrawn.
func (g *Gateway) authenticated(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer g.Drainer.Enter()()
		id := g.assignID(w)
		caller, err := g.Authenticator.Authenticate(r)
		if err != nil {
			g.errorWriter.Write(w, id, err)
			return
		}
		ctx, end := g.Withdrawer.TrackRequest(r.Context(), caller.Key)
		defer end()
		g.serve(w, r.WithContext(ctx), &call{id: id, caller: caller}, next)
	}
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, c *call, next handler) {
	err := next(w, r, c)
	if err == nil {
		return
	}
	if errors.Is(context.Cause(r.Context()), withdrawer.ErrWithdrawn) {
		state := fescuebank.AsRefusal(err).State
		err = fescuebank.Refuse(http.StatusUnauthorized, fescuebank.CodeKeyWithdrawn, "the key was withdrawn").WithState(state)
	}
	g.Log.Debug("Request refused.", "request", string(c.id), "path", r.URL.Path, "err", err)
	g.errorWriter.Write(w, c.id, err)
}

// assignID creates the request's id and sets it as a response header.
func (g *Gateway) assignID(w http.ResponseWriter) fescuebank.RequestID {
	id := fescuebank.RequestID(fescuebank.NewRandomID("req-"))
	w.Header().Set(fescuebank.HeaderRequestID, string(id))
	return id
}

// rateLimited counts the request against the team's rate and refuses it above that.
func (g *Gateway) rateLimited(next handler) handler {
	return func(w http.ResponseWriter, r *http.Request, c *call) error {
		if err := g.Admitter.Admit(r.Context(), c.caller.Team.ID); err != nil {
			g.Observer.RequestEnded(c.caller.Team.ID, err)
			return err
		}
		return next(w, r, c)
	}
}

// readBody reads the request body up to Limits.BodyBytes.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(g.Limits.BodyBytes)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fescuebank.Refuse(http.StatusRequestEntityTooLarge, fescuebank.CodeTooLarge, "want a body of at most %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, fescuebank.Refuse(http.StatusBadRequest, fescuebank.CodeBadRequest, "the body broke off")
	}
	return body, nil
}

func (g *Gateway) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if g.Drainer.Leaving() {
		g.errorWriter.Write(w, "", fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeLeaving, "the instance is leaving"))
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (g *Gateway) serveInstances(w http.ResponseWriter, r *http.Request, c *call) error {
	writeJSON(w, g.Locator.Locate(c.caller.Team.ID, fescuebank.Zone(r.URL.Query().Get("zone"))))
	return nil
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      fescuebank.ModelName `json:"id"`
	Object  string               `json:"object"`
	OwnedBy string               `json:"owned_by"`
}

func (g *Gateway) serveModels(w http.ResponseWriter, _ *http.Request, c *call) error {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range g.Source.Current().State.Models {
		if c.caller.Team.MayUse(m.Name) {
			list.Data = append(list.Data, modelItem{ID: m.Name, Object: "model", OwnedBy: "fescuebank"})
		}
	}
	writeJSON(w, list)
	return nil
}
