// Rig2 runs one case of the second review: it starts instances as separate processes between stand-ins of the
// platform, of callers and of endpoints, and writes what was sent, answered and run.
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
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

// endEarly ends the case, and with it all its processes, when its time is up or a signal asks for it.
func (r *rig) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case s := <-signals:
		r.note("not run: %v", s)
	case <-time.After(maxTime):
		r.note("not run: the time is up")
	}
	r.close()
	os.Exit(exitNotRun)
}

// scenario runs a case and reports whether the rule was broken.
type scenario func(r *rig, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"ended-jobs":    endedJobs,
	"odd-id":        oddID,
	"removed-route": removedRoute,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 3 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 SCENARIO DAEMON RECORD")
		return exitNotRun
	}
	r, err := newRig(args[1], filepath.Clean(args[2]))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	go r.endEarly()
	broken, err := scenarios[args[0]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.note("not run: %v", err)
		return exitNotRun
	case broken:
		r.note("result: the rule was broken")
		return exitBroken
	}
	r.note("result: the rule held")
	return exitHeld
}
