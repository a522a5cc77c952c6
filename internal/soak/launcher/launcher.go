// Package launcher runs programs as separate processes and sends them signals.
package launcher

import (
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Launcher is one process at a time of one program. It ends only what it started.
type Launcher struct {
	path string
	args []string
	log  io.Writer

	mu      sync.Mutex
	process *process
}

// process is one run of the program.
type process struct {
	cmd *exec.Cmd
	// asked is set once a signal was sent that ends the process, killed if that was
	// SIGKILL.
	asked   bool
	killed  bool
	started time.Time
	done    chan struct{}
	err     error
}

// New returns a launcher of the program at path, whose output goes to log.
func New(path string, args []string, log io.Writer) *Launcher {
	return &Launcher{path: path, args: args, log: log}
}

// Start starts the program unless it runs.
func (l *Launcher) Start() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.process != nil && !l.process.hasEnded() {
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

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// catchTime is how long a program may take to begin to handle its signals. A SIGHUP
// before that would end it, whatever it does.
const catchTime = time.Second

// Signal sends a signal to the process if it runs. SIGHUP is left out right after the
// start.
func (l *Launcher) Signal(s os.Signal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.process
	if p == nil || p.hasEnded() {
		return
	}
	if s == syscall.SIGHUP && time.Since(p.started) < catchTime {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.asked = true
		p.killed = p.killed || s == syscall.SIGKILL
	}
	_ = p.cmd.Process.Signal(s) // One that has just ended needs none.
}

// Wait waits for the end of the process. It reports false if that takes longer than
// most, and the error that it ended with unless it was killed here.
func (l *Launcher) Wait(most time.Duration) (ended bool, err error) {
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
		if p.killed {
			return true, nil
		}
		return true, p.err
	case <-time.After(most):
		return false, nil
	}
}

// ExitedUnexpectedly reports whether the process exited without a signal that ends it.
func (l *Launcher) ExitedUnexpectedly() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.process != nil && l.process.hasEnded() && !l.process.asked
}
