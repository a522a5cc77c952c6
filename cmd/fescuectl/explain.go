package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"fescuebank/internal/operate/explainer"
)

// explainCommand tells the story of one request from logs.
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
	story := e.Explain(c.ID)
	if len(story) == 0 {
		return eris.Errorf("no line names %q (%d lines were none of the log)", c.ID, e.Skipped())
	}
	return cl.print(story, func(w io.Writer) {
		if err := explainer.Write(w, story); err != nil {
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
