// Command fescuesoak is a soak test: it runs fescuebankd as separate processes,
// injects faults that it derives from a seed, and checks the guarantees that hold
// for callers and endpoints.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"fescuebank/internal/timing/timekeeper"
	"fescuebank/platform/soaker"
)

// arguments are the command-line arguments.
type arguments struct {
	Daemon    string        `arg:"--daemon,required" placeholder:"PATH" help:"the fescuebankd to run"`
	Dir       string        `arg:"--dir" default:"soak" placeholder:"DIR" help:"where settings and logs go, a directory a seed"`
	Seed      uint64        `arg:"--seed" default:"1" help:"the first seed"`
	Seeds     int           `arg:"--seeds" default:"1" help:"how many seeds to play, one after the other"`
	Length    time.Duration `arg:"--length" default:"15s" help:"for how long faults strike"`
	Entries   int           `arg:"--entries" default:"3" help:"instances that take requests"`
	Owners    int           `arg:"--owners" default:"3" help:"instances that own teams"`
	Endpoints int           `arg:"--endpoints" default:"6" help:"endpoints that requests go to"`
	Callers   int           `arg:"--callers" default:"12" help:"callers at once"`
}

func (arguments) Description() string {
	return "Plays seeded faults against real processes on this machine and names the promises that they break."
}

func main() {
	var a arguments
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	failed, err := run(ctx, a, os.Stdout)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "fescuesoak:", err)
		os.Exit(2)
	}
	if failed > 0 {
		os.Exit(1)
	}
}

// run executes the soak test for each seed and returns the number of seeds for which a
// guarantee was violated.
func run(ctx context.Context, a arguments, out io.Writer) (failed int, err error) {
	for seed := a.Seed; seed < a.Seed+uint64(a.Seeds); seed++ {
		dir := filepath.Join(a.Dir, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return failed, err
		}
		log, err := os.Create(filepath.Join(dir, "faults.log"))
		if err != nil {
			return failed, err
		}
		result, err := soaker.New(soaker.Config{
			Daemon: a.Daemon, Dir: dir, Seed: seed, Length: a.Length, Entries: a.Entries, Owners: a.Owners,
			Endpoints: a.Endpoints, Callers: a.Callers, Clock: timekeeper.Timekeeper{}, Log: log,
		}).Run(ctx)
		_ = log.Close()
		if err != nil {
			return failed, err
		}
		fmt.Fprintf(out, "seed %d: %d requests ran, %d jobs, %d of %d streams continued, %d causes crashed %d endpoints, %d requests at limited endpoints, %d at instances without endpoints, %d during evacuations, %d while endpoints left, %d at cold endpoints, %d complete responses that ended with their connections, %d broken off by endpoints and %d with tunnels, %d requests late in a grace, %d promises broken\n",
			seed, result.ExecutedRequests, result.Jobs, result.ContinuedStreams, result.ResumedStreams, result.Causes, result.Crashes, result.LimitedRequests, result.PartitionedTries, result.EvacuationRequests, result.LeavingRequests, result.ColdRequests, result.CompleteResponses, result.BrokenResponses, result.TunnelBreaks, result.LateRequests, len(result.Violations))
		for _, violation := range result.Violations {
			fmt.Fprintln(out, "  "+violation)
		}
		if len(result.Violations) > 0 {
			failed++
		}
	}
	return failed, nil
}
