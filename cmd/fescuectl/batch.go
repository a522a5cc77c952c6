package main

import (
	"context"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// batchCommand manages batch jobs.
type batchCommand struct {
	Submit  *submitCommand  `arg:"subcommand:submit" help:"upload items and submit a job"`
	Show    *showCommand    `arg:"subcommand:show" help:"show a job, or all jobs of the key's team"`
	Results *resultsCommand `arg:"subcommand:results" help:"print the results of a job"`
	Cancel  *cancelCommand  `arg:"subcommand:cancel" help:"cancel a job"`
}

type submitCommand struct {
	File     string `arg:"positional,required" help:"JSONL file of items"`
	Endpoint string `arg:"--endpoint" default:"/v1/chat/completions" help:"what the items are for"`
	Window   string `arg:"--window" default:"24h" help:"within what the job is due"`
	IdemKey  string `arg:"--idempotency-key" help:"a resent job with the same key is the same job"`
	Wait     bool   `arg:"--wait" help:"show progress until the job has ended"`
}

type showCommand struct {
	ID string `arg:"positional" help:"job; all if left out"`
}

type resultsCommand struct {
	ID     string `arg:"positional,required"`
	Failed bool   `arg:"--failed" help:"print the failed items"`
}

type cancelCommand struct {
	ID string `arg:"positional,required"`
}

func (b *batchCommand) run(ctx context.Context, c *client) error {
	switch {
	case b.Submit != nil:
		return b.Submit.run(ctx, c)
	case b.Show != nil:
		return b.Show.run(ctx, c)
	case b.Results != nil:
		return b.Results.run(ctx, c)
	case b.Cancel != nil:
		return b.Cancel.run(ctx, c)
	}
	return fmt.Errorf("missing subcommand: submit, show, results or cancel")
}

// job is a batch job as the callers' API represents it.
type job struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Input   string `json:"input_file_id"`
	Output  string `json:"output_file_id,omitempty"`
	Errors  string `json:"error_file_id,omitempty"`
	Created int64  `json:"created_at"`
	Due     int64  `json:"expires_at"`
	Counts  struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

func (j *job) hasEnded() bool {
	return j.Status == "completed" || j.Status == "cancelled"
}

func (c *client) printJobs(jobs ...job) error {
	var value any = jobs
	if len(jobs) == 1 {
		value = jobs[0]
	}
	return c.print(value, func(w io.Writer) {
		fmt.Fprintln(w, "JOB\tSTATUS\tITEMS\tCOMPLETED\tFAILED\tDUE")
		for _, j := range jobs {
			due := time.Unix(j.Due, 0).Format(time.RFC3339)
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", j.ID, j.Status, j.Counts.Total, j.Counts.Completed, j.Counts.Failed, due)
		}
	})
}

// submission is the request body that submits a job.
type submission struct {
	Input    string `json:"input_file_id"`
	Endpoint string `json:"endpoint"`
	Window   string `json:"completion_window"`
}

func (s *submitCommand) run(ctx context.Context, c *client) error {
	input, err := c.upload(ctx, s.File)
	if err != nil {
		return err
	}
	header := http.Header{}
	if s.IdemKey != "" {
		header.Set("Idempotency-Key", s.IdemKey)
	}
	var j job
	body := submission{Input: input, Endpoint: s.Endpoint, Window: s.Window}
	if err := c.callerJSON(ctx, http.MethodPost, "/v1/batches", header, body, &j); err != nil {
		return err
	}
	if s.Wait {
		if err := c.showProgress(ctx, &j); err != nil {
			return err
		}
	}
	return c.printJobs(j)
}

// upload streams a file to the instance and returns its ID.
func (c *client) upload(ctx context.Context, name string) (string, error) {
	file, err := os.Open(name)
	if err != nil {
		return "", err
	}
	defer file.Close()
	reader, writer := io.Pipe()
	form := multipart.NewWriter(writer)
	go func() { _ = writer.CloseWithError(writeForm(form, filepath.Base(name), file)) }()
	header := http.Header{"Content-Type": {form.FormDataContentType()}}
	resp, err := c.caller(ctx, http.MethodPost, "/v1/files", header, reader)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var uploaded struct {
		ID string `json:"id"`
	}
	err = decodeJSON(resp.Body, &uploaded)
	return uploaded.ID, err
}

func writeForm(form *multipart.Writer, name string, content io.Reader) error {
	if err := form.WriteField("purpose", "batch"); err != nil {
		return err
	}
	part, err := form.CreateFormFile("file", name)
	if err != nil {
		return err
	}
	if _, err := io.Copy(part, content); err != nil {
		return err
	}
	return form.Close()
}

// showProgress polls the job and prints its progress until it has ended.
func (c *client) showProgress(ctx context.Context, j *job) error {
	const interval = 500 * time.Millisecond
	for !j.hasEnded() {
		time.Sleep(interval)
		if err := c.callerJSON(ctx, http.MethodGet, "/v1/batches/"+j.ID, nil, nil, j); err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "\r%s: %d of %d items, %d failed", j.Status, j.Counts.Completed+j.Counts.Failed, j.Counts.Total, j.Counts.Failed)
	}
	fmt.Fprintln(os.Stderr)
	return nil
}

func (s *showCommand) run(ctx context.Context, c *client) error {
	if s.ID != "" {
		var j job
		if err := c.callerJSON(ctx, http.MethodGet, "/v1/batches/"+s.ID, nil, nil, &j); err != nil {
			return err
		}
		return c.printJobs(j)
	}
	var list struct {
		Data []job `json:"data"`
	}
	if err := c.callerJSON(ctx, http.MethodGet, "/v1/batches", nil, nil, &list); err != nil {
		return err
	}
	return c.printJobs(list.Data...)
}

func (r *resultsCommand) run(ctx context.Context, c *client) error {
	name := "file-out-" + r.ID
	if r.Failed {
		name = "file-err-" + r.ID
	}
	resp, err := c.caller(ctx, http.MethodGet, "/v1/files/"+name+"/content", nil, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(c.out, resp.Body)
	return err
}

func (x *cancelCommand) run(ctx context.Context, c *client) error {
	var j job
	if err := c.callerJSON(ctx, http.MethodPost, "/v1/batches/"+x.ID+"/cancel", nil, nil, &j); err != nil {
		return err
	}
	return c.printJobs(j)
}
