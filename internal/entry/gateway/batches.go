package gateway

import (
	"encoding/json"
	"io"
	"mime/multipart"
	"net/http"
	"strconv"
	"time"

	"fescuebank"
	"fescuebank/internal/batch/exporter"
	"fescuebank/internal/batch/splitter"
	"fescuebank/internal/batch/submitter"
)

const (
	// defaultWindow is the completion window of a job that sets none, maxWindow the
	// longest allowed.
	defaultWindow = 24 * time.Hour
	maxWindow     = 7 * 24 * time.Hour
	// maxSubmissionBytes bounds the body of a job submission.
	maxSubmissionBytes = 64 << 10
	// maxListedJobs bounds a list of jobs.
	maxListedJobs = 100
	// maxFieldBytes bounds a form field other than the file.
	maxFieldBytes = 1 << 10
)

// fileBody is the JSON representation of a file.
type fileBody struct {
	ID        fescuebank.FileID `json:"id"`
	Object    string            `json:"object"`
	Bytes     fescuebank.Bytes  `json:"bytes"`
	CreatedAt int64             `json:"created_at"`
	Filename  string            `json:"filename"`
	Purpose   string            `json:"purpose"`
}

func newFileBody(f *fescuebank.File) fileBody {
	return fileBody{ID: f.ID, Object: "file", Bytes: f.Size, CreatedAt: f.Created.Unix(), Filename: f.Name, Purpose: f.Purpose}
}

func badRequest(format string, args ...any) error {
	return fescuebank.Refuse(http.StatusBadRequest, fescuebank.CodeBadRequest, format, args...)
}

// serveUpload accepts a multipart form with the fields purpose and file.
func (g *Gateway) serveUpload(w http.ResponseWriter, r *http.Request, c *call) error {
	r.Body = http.MaxBytesReader(w, r.Body, int64(g.Limits.FileBytes))
	form, err := r.MultipartReader()
	if err != nil {
		return badRequest("want a multipart form with purpose and file")
	}
	for {
		part, err := form.NextPart()
		if err != nil {
			return badRequest("want a field named file")
		}
		switch part.FormName() {
		case "purpose":
			if err := checkPurpose(part); err != nil {
				return err
			}
		case "file":
			return g.upload(w, r, c, part)
		}
	}
}

func checkPurpose(part *multipart.Part) error {
	text, err := io.ReadAll(io.LimitReader(part, maxFieldBytes))
	if err != nil || string(text) != "batch" {
		return badRequest("want purpose to be batch")
	}
	return nil
}

func (g *Gateway) upload(w http.ResponseWriter, r *http.Request, c *call, part *multipart.Part) error {
	team := c.caller.Team
	isAvailable := func(m fescuebank.ModelName) bool {
		_, ok := g.Source.Current().Models[m]
		return ok && team.MayUse(m)
	}
	file, err := g.Submitter.Upload(r.Context(), team.ID, part.FileName(), isAvailable, part)
	if err != nil {
		return err
	}
	writeJSON(w, newFileBody(file))
	return nil
}

func (g *Gateway) serveFile(w http.ResponseWriter, r *http.Request, c *call) error {
	file, err := g.Submitter.File(r.Context(), c.caller.Team.ID, fescuebank.FileID(r.PathValue("id")))
	if err != nil {
		return err
	}
	writeJSON(w, newFileBody(file))
	return nil
}

// serveFileContent streams an uploaded file or the results of a job.
func (g *Gateway) serveFileContent(w http.ResponseWriter, r *http.Request, c *call) error {
	id := fescuebank.FileID(r.PathValue("id"))
	team := c.caller.Team.ID
	out := &resultWriter{w: w}
	var err error
	if job, failed, ok := exporter.JobOf(id); ok {
		var found *fescuebank.Job
		if found, err = g.Submitter.Job(r.Context(), team, job); err != nil {
			return err
		}
		err = g.Exporter.WriteResults(r.Context(), found, failed, out)
	} else {
		var file *fescuebank.File
		if file, err = g.Submitter.File(r.Context(), team, id); err != nil {
			return err
		}
		err = g.Exporter.WriteInput(r.Context(), file, out)
	}
	if err != nil && out.started {
		// Part of the body was sent; aborting the connection signals that it is
		// incomplete.
		panic(http.ErrAbortHandler)
	}
	if err == nil && !out.started {
		w.Header().Set("Content-Type", "application/jsonl")
	}
	return err
}

// resultWriter sets the content type on the first write, so that an error before it can
// still be sent as JSON.
type resultWriter struct {
	w       http.ResponseWriter
	started bool
}

// Write implements io.Writer.
func (o *resultWriter) Write(b []byte) (int, error) {
	if !o.started {
		o.started = true
		o.w.Header().Set("Content-Type", "application/jsonl")
	}
	return o.w.Write(b)
}

// jobRequest is the body of a job submission.
type jobRequest struct {
	InputFileID      fescuebank.FileID `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

// jobBody is the JSON representation of a job.
type jobBody struct {
	ID               fescuebank.JobID     `json:"id"`
	Object           string               `json:"object"`
	Endpoint         string               `json:"endpoint"`
	InputFileID      fescuebank.FileID    `json:"input_file_id"`
	OutputFileID     fescuebank.FileID    `json:"output_file_id,omitempty"`
	ErrorFileID      fescuebank.FileID    `json:"error_file_id,omitempty"`
	CompletionWindow string               `json:"completion_window"`
	Status           fescuebank.JobStatus `json:"status"`
	CreatedAt        int64                `json:"created_at"`
	ExpiresAt        int64                `json:"expires_at"`
	FinishedAt       int64                `json:"completed_at,omitempty"`
	RequestCounts    fescuebank.Counts    `json:"request_counts"`
	Metadata         map[string]string    `json:"metadata,omitempty"`
}

func newJobBody(j *fescuebank.Job) jobBody {
	b := jobBody{
		ID: j.ID, Object: "batch", Endpoint: j.Path, InputFileID: j.Input, Status: j.Status,
		CompletionWindow: j.Due.Sub(j.Created).String(), CreatedAt: j.Created.Unix(), ExpiresAt: j.Due.Unix(),
		RequestCounts: j.Counts, Metadata: j.Metadata,
	}
	if j.Status.Final() {
		b.FinishedAt = j.Finished.Unix()
		b.OutputFileID = exporter.OutputFile(j.ID, false)
		if j.Counts.Failed > 0 {
			b.ErrorFileID = exporter.OutputFile(j.ID, true)
		}
	}
	return b
}

func (g *Gateway) serveSubmit(w http.ResponseWriter, r *http.Request, c *call) error {
	var body jobRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSubmissionBytes)).Decode(&body); err != nil {
		return badRequest("the body is not valid JSON: %v", err)
	}
	if body.Endpoint != splitter.PathChat && body.Endpoint != splitter.PathCompletions {
		return badRequest("want endpoint %s or %s", splitter.PathChat, splitter.PathCompletions)
	}
	window, err := parseWindow(body.CompletionWindow)
	if err != nil {
		return err
	}
	job, err := g.Submitter.Submit(r.Context(), c.caller.Team.ID, submitter.JobRequest{
		Input: body.InputFileID, Path: body.Endpoint, CompletionWindow: window, Metadata: body.Metadata,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
	})
	if err != nil {
		return err
	}
	writeJSON(w, newJobBody(job))
	return nil
}

func parseWindow(text string) (time.Duration, error) {
	if text == "" {
		return defaultWindow, nil
	}
	window, err := time.ParseDuration(text)
	if err != nil || window <= 0 || window > maxWindow {
		return 0, badRequest("want completion_window above 0 and at most %s, such as 24h", maxWindow)
	}
	return window, nil
}

func (g *Gateway) serveJob(w http.ResponseWriter, r *http.Request, c *call) error {
	job, err := g.Submitter.Job(r.Context(), c.caller.Team.ID, fescuebank.JobID(r.PathValue("id")))
	if err != nil {
		return err
	}
	writeJSON(w, newJobBody(job))
	return nil
}

func (g *Gateway) serveCancel(w http.ResponseWriter, r *http.Request, c *call) error {
	job, err := g.Submitter.Cancel(r.Context(), c.caller.Team.ID, fescuebank.JobID(r.PathValue("id")))
	if err != nil {
		return err
	}
	writeJSON(w, newJobBody(job))
	return nil
}

// jobList is the response to GET /v1/batches.
type jobList struct {
	Object string    `json:"object"`
	Data   []jobBody `json:"data"`
}

func (g *Gateway) serveJobs(w http.ResponseWriter, r *http.Request, c *call) error {
	limit := maxListedJobs
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxListedJobs {
			return badRequest("want limit from 1 to %d", maxListedJobs)
		}
		limit = n
	}
	jobs, err := g.Submitter.Jobs(r.Context(), c.caller.Team.ID, limit)
	if err != nil {
		return err
	}
	list := jobList{Object: "list", Data: []jobBody{}}
	for _, j := range jobs {
		list.Data = append(list.Data, newJobBody(j))
	}
	writeJSON(w, list)
	return nil
}
