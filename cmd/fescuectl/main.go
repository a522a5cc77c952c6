// Command fescuectl is the command-line client of fescuebank, for operators and callers.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"

	"github.com/alexflint/go-arg"
)

// arguments are the command-line arguments.
type arguments struct {
	connection
	Apply      *applyCommand      `arg:"subcommand:apply" help:"put a document of desired state in force"`
	Get        *getCommand        `arg:"subcommand:get" help:"print the desired state"`
	Team       *teamCommand       `arg:"subcommand:team" help:"print one team"`
	Key        *keyCommand        `arg:"subcommand:key" help:"grant or withdraw keys"`
	Batch      *batchCommand      `arg:"subcommand:batch" help:"submit, show, fetch and cancel batch jobs"`
	Instances  *instancesCommand  `arg:"subcommand:instances" help:"list the instances and their state"`
	Endpoints  *endpointsCommand  `arg:"subcommand:endpoints" help:"list the endpoints and their load"`
	Evacuation *evacuationCommand `arg:"subcommand:evacuation" help:"send nothing to the endpoints of a zone, on platforms that list endpoints themselves"`
	Report     *reportCommand     `arg:"subcommand:report" help:"print reports"`
	Load       *loadCommand       `arg:"subcommand:load" help:"measure a deployment under load"`
	Explain    *explainCommand    `arg:"subcommand:explain" help:"tell from logs what happened to one request"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "fescuectl drives a fescuebank deployment. Options may also be given by the environment variables named below."
}

// Epilogue is shown at the end of --help.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 wrong command line, 3 faults in a document, 4 conflict with another operator, 5 not found, 6 refused for now (try again)."
}

// Exit codes.
const (
	exitFailed   = 1
	exitFaults   = 3
	exitConflict = 4
	exitNotFound = 5
	exitRefused  = 6
)

// command is one subcommand.
type command interface {
	run(ctx context.Context, c *client) error
}

func (a *arguments) command() command {
	switch {
	case a.Apply != nil:
		return a.Apply
	case a.Get != nil:
		return a.Get
	case a.Team != nil:
		return a.Team
	case a.Key != nil:
		return a.Key
	case a.Batch != nil:
		return a.Batch
	case a.Instances != nil:
		return a.Instances
	case a.Endpoints != nil:
		return a.Endpoints
	case a.Evacuation != nil:
		return a.Evacuation
	case a.Report != nil:
		return a.Report
	case a.Load != nil:
		return a.Load
	case a.Explain != nil:
		return a.Explain
	}
	return nil
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	c := args.command()
	if c == nil {
		parser.Fail("missing subcommand")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	client, err := newClient(args.connection)
	if err == nil {
		err = c.run(ctx, client)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var failed *responseError
	if errors.As(err, &failed) {
		return failed.exitCode()
	}
	return exitFailed
}
