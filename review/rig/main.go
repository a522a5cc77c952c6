// Command rig plays the cases of the review that can't be put as days: it runs the
// project's own programs as processes on loopback, between stand-ins for clients, workers
// and the platform's store.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	requiredArgs = 3
)

// cases are the cases by name. Each returns the faults that it saw.
var cases = map[string]func(dir string, r *record, trouble bool) ([]string, error){
	"mixed-parts":   mixedParts,
	"many-jobs":     manyJobs,
	"large-results": largeResults,
	"smuggled":      smuggled,
	"same-id":       sameID,
	"endless":       endless,
	"kept":          kept,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != requiredArgs || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs:", dir)
	}
	go endEarly()
	faults, err := cases[os.Args[1]](dir, r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	for _, f := range faults {
		r.printf("BROKEN %s", f)
		fmt.Println("BROKEN", f)
	}
	if len(faults) > 0 {
		return exitBroken
	}
	r.printf("held")
	fmt.Println("held")
	return exitHeld
}

// maxTime bounds a case.
const maxTime = 117 * time.Second

// endEarly ends the processes, and the case as not run, after maxTime or a signal.
func endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	fmt.Fprintln(os.Stderr, "not run: ended early")
	if d := running.Load(); d != nil {
		d.kill()
	}
	os.Exit(exitNotRun)
}
