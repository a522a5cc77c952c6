// Package console serves the operators' web pages. They work without scripts, and
// their forms edit a draft that is validated and published as one desired state.
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
	// maxFormBytes bounds the size of a submitted form.
	maxFormBytes = 4 << 20
	// maxListedTeams bounds the number of teams listed on a page.
	maxListedTeams = 200
)

//go:embed pages/*.html
var pageFiles embed.FS

// Backend provides what the pages show and applies their changes.
type Backend interface {
	// Current returns the newest desired state.
	Current(ctx context.Context) (*fescuebank.DesiredState, error)
	// Apply publishes a desired state and returns its generation.
	Apply(ctx context.Context, d *fescuebank.DesiredState) (fescuebank.Generation, error)
	// GrantKey creates a key for a team; the key is shown only once.
	GrantKey(ctx context.Context, team fescuebank.TeamID, label string) (string, error)
	// WithdrawKey withdraws a key.
	WithdrawKey(ctx context.Context, h fescuebank.KeyHash) error
	// FleetStatus returns the states of the instances that respond and the ids of
	// those that don't.
	FleetStatus(ctx context.Context) ([]fescuebank.InstanceStatus, []fescuebank.InstanceID)
	// ActiveJobs returns the unfinished batch jobs.
	ActiveJobs(ctx context.Context) ([]*fescuebank.Job, error)
	// CancelJob cancels a batch job.
	CancelJob(ctx context.Context, team fescuebank.TeamID, id fescuebank.JobID) error
	// Burn returns the report on service levels.
	Burn(ctx context.Context) evaluator.Report
}

// Console serves the pages.
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

// Handler returns the handler of all pages. It rejects cross-origin form submissions.
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
	return http.NewCrossOriginProtection().Handler(protected(mux))
}

// protected bounds request bodies and sets security headers on responses.
func protected(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
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

func errorMessage(err error) *message {
	return &message{Bad: true, Text: err.Error()}
}

func (c *Console) render(w http.ResponseWriter, status int, page string, data any) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	if err := c.pages.ExecuteTemplate(w, page, data); err != nil {
		c.log.Warn("Page not written.", "page", page, "err", err)
	}
}

// statusPage holds the data of the page that shows the state of the fleet.
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

// jobsPage holds the data of the page of unfinished jobs.
type jobsPage struct {
	Title   string
	Message *message
	Jobs    []*fescuebank.Job
}

func (c *Console) showJobs(w http.ResponseWriter, r *http.Request) {
	jobs, err := c.backend.ActiveJobs(r.Context())
	page := jobsPage{Title: "Batch jobs", Jobs: jobs}
	if err != nil {
		page.Message = errorMessage(err)
	}
	c.render(w, http.StatusOK, "jobs.html", page)
}

func (c *Console) cancelJob(w http.ResponseWriter, r *http.Request) {
	err := c.backend.CancelJob(r.Context(), fescuebank.TeamID(r.FormValue("team")), fescuebank.JobID(r.FormValue("id")))
	if err != nil {
		c.render(w, http.StatusConflict, "jobs.html", jobsPage{Title: "Batch jobs", Message: errorMessage(err)})
		return
	}
	http.Redirect(w, r, "/jobs", http.StatusSeeOther)
}

// burnPage holds the data of the page that shows the burn rates of service levels.
type burnPage struct {
	Title   string
	Message *message
	Report  evaluator.Report
}

func (c *Console) showBurn(w http.ResponseWriter, r *http.Request) {
	c.render(w, http.StatusOK, "burn.html", burnPage{Title: "Service levels", Report: c.backend.Burn(r.Context())})
}

// configPage holds the data of the page that edits the desired state.
type configPage struct {
	Title   string
	Message *message
	// State is the desired state with the draft applied.
	State *fescuebank.DesiredState
	Draft draft
	Diff  []diffLine
	// Faults lists the faults of State or of the last form submitted.
	Faults []fescuebank.Fault
	// NewKey is the key just created, which is shown only once.
	NewKey string
	// Filter selects the teams to show by a part of their ids; Hidden is the number
	// of selected teams that are not shown.
	Filter string
	Teams  []fescuebank.Team
	Hidden int
}

func (c *Console) showConfig(w http.ResponseWriter, r *http.Request) {
	c.renderConfig(w, r, http.StatusOK, draft{}, configPage{Filter: r.FormValue("filter")})
}

// renderConfig writes the configuration page: the newest desired state with a draft
// applied.
func (c *Console) renderConfig(w http.ResponseWriter, r *http.Request, status int, d draft, page configPage) {
	page.Title = "Configuration"
	current, err := c.backend.Current(r.Context())
	if err != nil {
		page.Message = errorMessage(err)
		page.State = &fescuebank.DesiredState{}
		c.render(w, http.StatusServiceUnavailable, "config.html", page)
		return
	}
	if len(d.Changes) == 0 {
		d.Generation = current.Generation
	}
	if d.Generation != current.Generation && page.Message == nil {
		conflict := &publisher.ConflictError{Base: d.Generation, Current: current.Generation}
		page.Message = errorMessage(conflict)
		status = http.StatusConflict
	}
	page.Draft = d
	page.State = current
	if next, err := d.apply(current); err != nil {
		page.Message = errorMessage(err)
	} else {
		page.State = next
		page.Diff = diff(current, next)
		page.Faults = append(page.Faults, faultsOf(next.Validate())...)
	}
	for _, t := range page.State.Teams {
		if !strings.Contains(string(t.ID), page.Filter) {
			continue
		}
		if len(page.Teams) < maxListedTeams {
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
		c.renderConfig(w, r, http.StatusBadRequest, draft{}, configPage{Message: errorMessage(err)})
		return
	}
	current, err := c.backend.Current(r.Context())
	if err != nil {
		c.renderConfig(w, r, http.StatusServiceUnavailable, d, configPage{Message: errorMessage(err)})
		return
	}
	if len(d.Changes) == 0 {
		d.Generation = current.Generation
	}
	added, faults := parseChange(r.Form, current)
	if faults != nil {
		c.renderConfig(w, r, http.StatusUnprocessableEntity, d, configPage{Faults: faults.List})
		return
	}
	c.renderConfig(w, r, http.StatusOK, d.with(added), configPage{})
}

func (c *Console) applyDraft(w http.ResponseWriter, r *http.Request) {
	d, next, err := c.draftDocument(r)
	if err != nil {
		c.renderConfig(w, r, http.StatusBadRequest, d, configPage{Message: errorMessage(err)})
		return
	}
	g, err := c.backend.Apply(r.Context(), next)
	var conflict *publisher.ConflictError
	switch {
	case errors.As(err, &conflict):
		c.renderConfig(w, r, http.StatusConflict, d, configPage{Message: errorMessage(err)})
	case err != nil && faultsOf(err) == nil:
		c.renderConfig(w, r, http.StatusServiceUnavailable, d, configPage{Message: errorMessage(err)})
	case err != nil:
		c.renderConfig(w, r, http.StatusUnprocessableEntity, d, configPage{})
	default:
		c.log.Info("Draft applied.", "generation", uint64(g))
		c.renderConfig(w, r, http.StatusOK, draft{}, configPage{Message: &message{Text: "The document is in force as a new generation."}})
	}
}

// draftDocument returns the draft of a form and the desired state that results from it.
func (c *Console) draftDocument(r *http.Request) (draft, *fescuebank.DesiredState, error) {
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
	_, next, err := c.draftDocument(r)
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
		c.renderConfig(w, r, http.StatusConflict, draft{}, configPage{Message: errorMessage(err)})
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
		c.renderConfig(w, r, http.StatusConflict, draft{}, configPage{Message: errorMessage(err)})
		return
	}
	http.Redirect(w, r, "/config?"+url.Values{"filter": {r.FormValue("team")}}.Encode(), http.StatusSeeOther)
}
