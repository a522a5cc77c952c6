package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"fescuebank/internal/operate/explainer"
)

// explainCommand prints the log lines that concern one request, item, job,
// endpoint or team.
type explainCommand struct {
	ID    string   `arg:"positional,required" help:"a request's, item's, job's, endpoint's or team's id"`
	Files []string `arg:"positional,required" placeholder:"FILE" help:"logs of the instances; - for standard input"`
}

func (c *explainCommand) run(_ context.Context, cl *client) error {
	var e explainer.Explainer
	for _, name := range c.Files {
		if err := readLog(&e, name); err != nil {
			return eris.Wrap(err, name)
		}
	}
	lines := e.Explain(c.ID)
	if len(lines) == 0 {
		return eris.Errorf("no line contains %q (%d lines skipped as not in the log's format)", c.ID, e.Skipped())
	}
	return cl.print(lines, func(w io.Writer) {
		if err := explainer.Write(w, lines); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	})
}

func readLog(e *explainer.Explainer, name string) error {
	if name == "-" {
		return e.Read(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return e.Read(f)
}
