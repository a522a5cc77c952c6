// Package exporter writes the input and result files of batch jobs.
package exporter

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"fescuebank"
	"fescuebank/internal/batch/serializer"
)

// The ID of a result file is one of these prefixes followed by the job's ID.
const (
	outputPrefix = "file-out-"
	errorPrefix  = "file-err-"
)

// OutputFile returns the ID of the file with a job's completed items, or with its
// failed ones.
func OutputFile(id fescuebank.JobID, failed bool) fescuebank.FileID {
	if failed {
		return fescuebank.FileID(errorPrefix + string(id))
	}
	return fescuebank.FileID(outputPrefix + string(id))
}

// JobOf returns the job that a result file belongs to, and whether the file holds its
// failed items.
func JobOf(id fescuebank.FileID) (job fescuebank.JobID, failed, ok bool) {
	if name, ok := strings.CutPrefix(string(id), outputPrefix); ok {
		return fescuebank.JobID(name), false, true
	}
	name, ok := strings.CutPrefix(string(id), errorPrefix)
	return fescuebank.JobID(name), true, ok
}

// Exporter writes files from stored chunks and results.
type Exporter struct {
	store      fescuebank.ObjectStore
	serializer *serializer.Serializer
}

// New returns an exporter.
func New(store fescuebank.ObjectStore, s *serializer.Serializer) *Exporter {
	return &Exporter{store: store, serializer: s}
}

// refusalOf converts an error of the store into a refusal.
func refusalOf(err error) error {
	var r *fescuebank.Refusal
	if errors.As(err, &r) {
		return r
	}
	return fescuebank.Refuse(http.StatusServiceUnavailable, fescuebank.CodeStoreDown, "the file can't be read now")
}

// WriteInput writes the lines of an uploaded file.
func (e *Exporter) WriteInput(ctx context.Context, f *fescuebank.File, w io.Writer) error {
	for n := range f.Chunks {
		o, err := e.store.Get(ctx, fescuebank.FileChunkKey(f.ID, n))
		if err != nil {
			return refusalOf(err)
		}
		c, err := e.serializer.DecodeChunk(o.Value)
		if err != nil {
			return eris.Wrap(err, "Exporter.WriteInput")
		}
		for _, line := range c.Lines {
			if _, err := w.Write(append(line, '\n')); err != nil {
				return err
			}
		}
	}
	return nil
}

// line is one line of a result file.
type line struct {
	ID       string    `json:"id"`
	CustomID string    `json:"custom_id"`
	Response *response `json:"response"`
	Error    *failure  `json:"error"`
}

type response struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

type failure struct {
	Code    fescuebank.RefusalCode `json:"code"`
	Message string                 `json:"message"`
}

// WriteResults writes the committed results of a job: those of failed items if failed is
// set, otherwise those of completed ones.
func (e *Exporter) WriteResults(ctx context.Context, job *fescuebank.Job, failed bool, w io.Writer) error {
	objects, _, err := e.store.List(ctx, fescuebank.RecordPrefix(job.ID))
	if err != nil {
		return refusalOf(err)
	}
	buffered := bufio.NewWriter(w)
	for _, o := range objects {
		record, err := e.serializer.DecodeRecord(o.Value)
		if err != nil {
			return eris.Wrap(err, "Exporter.WriteResults")
		}
		for _, key := range record.Segments {
			if err := e.writeSegment(ctx, job, key, failed, buffered); err != nil {
				return err
			}
		}
	}
	return buffered.Flush()
}

func (e *Exporter) writeSegment(ctx context.Context, job *fescuebank.Job, key string, failed bool, w io.Writer) error {
	o, err := e.store.Get(ctx, key)
	if err != nil {
		return refusalOf(err)
	}
	results, err := e.serializer.DecodeSegment(o.Value)
	if err != nil {
		return eris.Wrap(err, "Exporter.writeSegment")
	}
	encoder := json.NewEncoder(w)
	for _, r := range results {
		if r.Outcome.Failed != failed {
			continue
		}
		if err := encoder.Encode(newLine(job, r.Outcome)); err != nil {
			return err
		}
	}
	return nil
}

func newLine(job *fescuebank.Job, o fescuebank.ItemOutcome) line {
	l := line{ID: string(job.ID) + "/" + o.CustomID, CustomID: o.CustomID}
	if !o.Failed {
		l.Response = &response{StatusCode: o.Status, RequestID: l.ID, Body: o.Body}
		return l
	}
	l.Error = &failure{Code: fescuebank.CodeInternal}
	_ = json.Unmarshal(o.Body, l.Error)
	return l
}
