// Package console serves the operators' pages of forms. They work without
// scripts; their output is one validated document of desired state.
package console

import (
	"context"
	"embed"
	"encoding/json"
	"errors"
	"html/template"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"fescuebank"
	"fescuebank/internal/config/publisher"
	"fescuebank/internal/operate/evaluator"
)

const (
	// maxForm bounds a submitted form.
	maxForm = 4 << 20
	// maxListed bounds the entries of a list on a page.
	maxListed = 200
)

//go:embed pages/*.html
var pageFiles embed.FS

// Backend is what the pages show and change.
type Backend interface {
	// Current returns the newest desired state.
	Current(ctx context.Context) (*fescuebank.DesiredState, error)
	// Apply publishes a document and returns its generation.
	Apply(ctx context.Context, d *fescuebank.DesiredState) (fescuebank.Generation, error)
	// GrantKey makes a key for a team; it is shown once.
	GrantKey(ctx context.Context, team fescuebank.TeamID, label string) (string, error)
	// WithdrawKey takes a key out of force.
	WithdrawKey(ctx context.Context, h fescuebank.KeyHash) error
	// FleetStatus returns the state of all instances.
	FleetStatus(ctx context.Context) ([]fescuebank.InstanceStatus, []fescuebank.InstanceID)
	// ActiveJobs returns the unfinished batch jobs.
	ActiveJobs(ctx context.Context) ([]*fescuebank.Job, error)
	// CancelJob cancels a batch job.
	CancelJob(ctx context.Context, team fescuebank.TeamID, id fescuebank.JobID) error
	// Burn returns the report on service levels.
	Burn(ctx context.Context) evaluator.Report
}

// Console is the handler of the pages.
type Console struct {
	backend Backend
	log     hclog.Logger
	pages   *template.Template
}

// New returns a console.
func New(b Backend, log hclog.Logger) *Console {
	functions := template.FuncMap{
		"join":        joinAny,
		"dict":        dict,
		"newTeam":     func() fescuebank.Team { return fescuebank.Team{Rate: 10, Burst: 20, Weight: 1} },
		"newModel":    func() fescuebank.Model { return fescuebank.Model{} },
		"newEndpoint": func() fescuebank.EndpointSpec { return fescuebank.EndpointSpec{Slots: 16} },
		"newService":  func() fescuebank.Service { return fescuebank.Service{Timeout: 30} },
		"percent":     func(share float64) string { return percent(share) },
		"short":       func(h fescuebank.KeyHash) string { return h.String()[:12] },
		"bar":         func(share float64) int { return int(100 * max(0, min(1, share))) },
		"length":      func(d time.Duration) string { return strings.TrimSuffix(strings.TrimSuffix(d.String(), "0s"), "0m") },
	}
	pages := template.Must(template.New("pages").Funcs(functions).ParseFS(pageFiles, "pages/*.html"))
	return &Console{backend: b, log: log, pages: pages}
}

// Handler returns the pages. Forms of other sites are refused.
func (c *Console) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", c.showStatus)
	mux.HandleFunc("GET /jobs", c.showJobs)
	mux.HandleFunc("POST /jobs/cancel", c.cancelJob)
	mux.HandleFunc("GET /burn", c.showBurn)
	mux.HandleFunc("GET /config", c.showConfig)
	mux.HandleFunc("POST /config", c.changeDraft)
	mux.HandleFunc("POST /config/apply", c.applyDraft)
	mux.HandleFunc("POST /config/download", c.downloadDraft)
	mux.HandleFunc("POST /keys/grant", c.grantKey)
	mux.HandleFunc("POST /keys/withdraw", c.withdrawKey)
	return http.NewCrossOriginProtection().Handler(bounded(mux))
}

func bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxForm)
		h := w.Header()
		h.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'")
		h.Set("Cache-Control", "no-store")
		h.Set("X-Content-Type-Options", "nosniff")
		next.ServeHTTP(w, r)
	})
}

// message is shown at the top of a page.
type message struct {
	Bad  bool
	Text string
}

func failure(err error) *message {
	return &message{Bad: true, Text: err.Error()}
}

func (c *Console) render(w http.ResponseWriter, status int, page string, data any) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	if err := c.pages.ExecuteTemplate(w, page, data); err != nil {
		c.log.Warn("Page not written.", "page", page, "err", err)
	}
}

// statusPage is the state of the fleet.
type statusPage struct {
	Title     string
	Message   *message
	Instances []fescuebank.InstanceStatus
	Missing   []fescuebank.InstanceID
}

func (c *Console) showStatus(w http.ResponseWriter, r *http.Request) {
	instances, missing := c.backend.FleetStatus(r.Context())
	c.render(w, http.StatusOK, "status.html", statusPage{Title: "Fleet", Instances: instances, Missing: missing})
}

// jobsPage lists unfinished jobs.
type jobsPage struct {
	Title   string
	Message *message
	Jobs    []*fescuebank.Job
}

func (c *Console) showJobs(w http.ResponseWriter, r *http.Request) {
	jobs, err := c.backend.ActiveJobs(r.Context())
	page := jobsPage{Title: "Batch jobs", Jobs: jobs}
	if err != nil {
		page.Message = failure(err)
	}
	c.render(w, http.StatusOK, "jobs.html", page)
}

func (c *Console) cancelJob(w http.ResponseWriter, r *http.Request) {
	err := c.backend.CancelJob(r.Context(), fescuebank.TeamID(r.FormValue("team")), fescuebank.JobID(r.FormValue("id")))
	if err != nil {
		c.render(w, http.StatusConflict, "jobs.html", jobsPage{Title: "Batch jobs", Message: failure(err)})
		return
	}
	http.Redirect(w, r, "/jobs", http.StatusSeeOther)
}

// burnPage is the report on service levels.
type burnPage struct {
	Title   string
	Message *message
	Report  evaluator.Report
}

func (c *Console) showBurn(w http.ResponseWriter, r *http.Request) {
	c.render(w, http.StatusOK, "burn.html", burnPage{Title: "Service levels", Report: c.backend.Burn(r.Context())})
}

// configPage is the desired state with a draft over it.
type configPage struct {
	Title   string
	Message *message
	// State is the document with the draft applied.
	State *fescuebank.DesiredState
	Draft draft
	Diff  []diffLine
	// Faults are those of the document or of the last form.
	Faults []fescuebank.Fault
	// NewKey is shown once.
	NewKey string
	// Filter narrows the list of teams; Hidden is how many are not shown.
	Filter string
	Teams  []fescuebank.Team
	Hidden int
}

func (c *Console) showConfig(w http.ResponseWriter, r *http.Request) {
	c.renderConfig(w, r, http.StatusOK, draft{}, configPage{Filter: r.FormValue("filter")})
}

// renderConfig shows the newest state with a draft over it.
func (c *Console) renderConfig(w http.ResponseWriter, r *http.Request, status int, d draft, page configPage) {
	page.Title = "Configuration"
	current, err := c.backend.Current(r.Context())
	if err != nil {
		page.Message = failure(err)
		page.State = &fescuebank.DesiredState{}
		c.render(w, http.StatusServiceUnavailable, "config.html", page)
		return
	}
	if len(d.Changes) == 0 {
		d.Generation = current.Generation
	}
	if d.Generation != current.Generation && page.Message == nil {
		conflict := &publisher.ConflictError{Base: d.Generation, Current: current.Generation}
		page.Message = failure(conflict)
		status = http.StatusConflict
	}
	page.Draft = d
	page.State = current
	if next, err := d.apply(current); err != nil {
		page.Message = failure(err)
	} else {
		page.State = next
		page.Diff = diff(current, next)
		page.Faults = append(page.Faults, faultsOf(next.Validate())...)
	}
	for _, t := range page.State.Teams {
		if !strings.Contains(string(t.ID), page.Filter) {
			continue
		}
		if len(page.Teams) < maxListed {
			page.Teams = append(page.Teams, t)
		} else {
			page.Hidden++
		}
	}
	c.render(w, status, "config.html", page)
}

func faultsOf(err error) []fescuebank.Fault {
	var f *fescuebank.Faults
	if errors.As(err, &f) {
		return f.List
	}
	return nil
}

func (c *Console) changeDraft(w http.ResponseWriter, r *http.Request) {
	d, err := parseDraft(r.FormValue("draft"))
	if err != nil {
		c.renderConfig(w, r, http.StatusBadRequest, draft{}, configPage{Message: failure(err)})
		return
	}
	current, err := c.backend.Current(r.Context())
	if err != nil {
		c.renderConfig(w, r, http.StatusServiceUnavailable, d, configPage{Message: failure(err)})
		return
	}
	if len(d.Changes) == 0 {
		d.Generation = current.Generation
	}
	added, faults := readChange(r.Form, current)
	if faults != nil {
		c.renderConfig(w, r, http.StatusUnprocessableEntity, d, configPage{Faults: faults.List})
		return
	}
	c.renderConfig(w, r, http.StatusOK, d.with(added), configPage{})
}

func (c *Console) applyDraft(w http.ResponseWriter, r *http.Request) {
	d, next, err := c.document(r)
	if err != nil {
		c.renderConfig(w, r, http.StatusBadRequest, d, configPage{Message: failure(err)})
		return
	}
	g, err := c.backend.Apply(r.Context(), next)
	var conflict *publisher.ConflictError
	switch {
	case errors.As(err, &conflict):
		c.renderConfig(w, r, http.StatusConflict, d, configPage{Message: failure(err)})
	case err != nil && faultsOf(err) == nil:
		c.renderConfig(w, r, http.StatusServiceUnavailable, d, configPage{Message: failure(err)})
	case err != nil:
		c.renderConfig(w, r, http.StatusUnprocessableEntity, d, configPage{})
	default:
		c.log.Info("Draft applied.", "generation", uint64(g))
		c.renderConfig(w, r, http.StatusOK, draft{}, configPage{Message: &message{Text: "The document is in force as a new generation."}})
	}
}

// document returns the draft of a form and the document that it makes.
func (c *Console) document(r *http.Request) (draft, *fescuebank.DesiredState, error) {
	d, err := parseDraft(r.FormValue("draft"))
	if err != nil {
		return d, nil, err
	}
	current, err := c.backend.Current(r.Context())
	if err != nil {
		return d, nil, err
	}
	next, err := d.apply(current)
	return d, next, err
}

func (c *Console) downloadDraft(w http.ResponseWriter, r *http.Request) {
	_, next, err := c.document(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Disposition", `attachment; filename="desired-state.json"`)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(next)
}

func (c *Console) grantKey(w http.ResponseWriter, r *http.Request) {
	key, err := c.backend.GrantKey(r.Context(), fescuebank.TeamID(r.FormValue("team")), r.FormValue("label"))
	if err != nil {
		c.renderConfig(w, r, http.StatusConflict, draft{}, configPage{Message: failure(err)})
		return
	}
	c.renderConfig(w, r, http.StatusOK, draft{}, configPage{NewKey: key})
}

func (c *Console) withdrawKey(w http.ResponseWriter, r *http.Request) {
	var h fescuebank.KeyHash
	err := h.UnmarshalText([]byte(r.FormValue("hash")))
	if err == nil {
		err = c.backend.WithdrawKey(r.Context(), h)
	}
	if err != nil {
		c.renderConfig(w, r, http.StatusConflict, draft{}, configPage{Message: failure(err)})
		return
	}
	http.Redirect(w, r, "/config?"+url.Values{"filter": {r.FormValue("team")}}.Encode(), http.StatusSeeOther)
}
