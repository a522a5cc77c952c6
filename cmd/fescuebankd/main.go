// Command fescuebankd runs an instance, a demo deployment, or a stand-in for a service that
// an instance depends on. It also checks settings files and issues certificates.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// arguments are the command-line arguments.
type arguments struct {
	Serve   *serveCommand   `arg:"subcommand:serve" help:"run an instance"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check a settings file and say every fault in it"`
	Demo    *demoCommand    `arg:"subcommand:demo" help:"run a whole deployment on loopback, with stand-ins"`
	Standin *standinCommand `arg:"subcommand:standin" help:"run a stand-in of the platform, an engine or a service"`
	Certify *certifyCommand `arg:"subcommand:certify" help:"make an authority and certificates for instances"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "fescuebankd serves language models to online callers and batch jobs from one fleet."
}

// Epilogue is shown at the end of --help.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 wrong command line, 3 faults in the settings.\nSignals: SIGTERM and SIGINT make an instance leave without cutting a request."
}

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 3
)

// command is one subcommand.
type command interface {
	run(ctx context.Context) error
}

func (a *arguments) command() command {
	switch {
	case a.Serve != nil:
		return a.Serve
	case a.Check != nil:
		return a.Check
	case a.Demo != nil:
		return a.Demo
	case a.Standin != nil:
		return a.Standin
	case a.Certify != nil:
		return a.Certify
	}
	return nil
}

func main() {
	// A signal before this would end the process without a shutdown.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var args arguments
	parser := arg.MustParse(&args)
	c := args.command()
	if c == nil {
		parser.Fail("missing subcommand")
	}
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}
