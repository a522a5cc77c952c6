// Package launcher runs programs as child processes and sends them signals.
package launcher

import (
	"errors"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Launcher runs one program as at most one process at a time. It signals only the
// processes that it started.
type Launcher struct {
	path string
	args []string
	log  io.Writer

	mu      sync.Mutex
	process *process
}

// process is one execution of the program.
type process struct {
	cmd *exec.Cmd
	// stopRequested is set after SIGTERM or SIGKILL was sent, killed after SIGKILL, and
	// stoppedEarly after SIGTERM within signalSetupTime.
	stopRequested bool
	killed        bool
	stoppedEarly  bool
	started       time.Time
	// done is closed when the process has exited; err is then its exit error.
	done chan struct{}
	err  error
}

// New returns a launcher of the program at path. The program's output goes to log.
func New(path string, args []string, log io.Writer) *Launcher {
	return &Launcher{path: path, args: args, log: log}
}

// Start starts the program unless it is running.
func (l *Launcher) Start() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.process != nil && !l.process.hasExited() {
		return nil
	}
	cmd := exec.Command(l.path, l.args...)
	cmd.Stdout, cmd.Stderr = l.log, l.log
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "Launcher.Start")
	}
	p := &process{cmd: cmd, done: make(chan struct{}), started: time.Now()}
	l.process = p
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return nil
}

func (p *process) hasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signalSetupTime is how long a program may take to install its signal handlers. An
// earlier SIGHUP or SIGTERM terminates the process.
const signalSetupTime = time.Second

// Signal sends a signal to the process if it is running. It doesn't send SIGHUP within
// signalSetupTime of the start.
func (l *Launcher) Signal(s os.Signal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.process
	if p == nil || p.hasExited() {
		return
	}
	if s == syscall.SIGHUP && time.Since(p.started) < signalSetupTime {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.stopRequested = true
		p.killed = p.killed || s == syscall.SIGKILL
		p.stoppedEarly = p.stoppedEarly || s == syscall.SIGTERM && time.Since(p.started) < signalSetupTime
	}
	_ = p.cmd.Process.Signal(s) // Fails only if the process has just exited.
}

// Wait waits until the process has exited or the timeout has passed, and reports
// whether it has exited. It returns the exit error, unless SIGKILL was sent or SIGTERM
// terminated the process before it had to handle signals.
func (l *Launcher) Wait(timeout time.Duration) (exited bool, err error) {
	l.mu.Lock()
	p := l.process
	l.mu.Unlock()
	if p == nil {
		return true, nil
	}
	select {
	case <-p.done:
		l.mu.Lock()
		defer l.mu.Unlock()
		if p.killed || (p.stoppedEarly && wasTerminated(p.err)) {
			return true, nil
		}
		return true, p.err
	case <-time.After(timeout):
		return false, nil
	}
}

// wasTerminated reports whether a process was terminated by SIGTERM, which it didn't handle.
func wasTerminated(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}

// ExitedUnexpectedly reports whether the process exited although neither SIGTERM nor
// SIGKILL was sent.
func (l *Launcher) ExitedUnexpectedly() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.process != nil && l.process.hasExited() && !l.process.stopRequested
}
