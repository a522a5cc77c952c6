package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

// program is the project's daemon.
const program = "target/fescuebankd"

// process runs the program as at most one process at a time.
type process struct {
	args []string
	log  *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
}

// start starts the program.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(program, p.args...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait() // How it ended doesn't matter.
		close(done)
	}()
	return nil
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s) // Fails only if the process has just ended.
	}
}

// wait waits until the process has ended, and reports whether it has within a time.
func (p *process) wait(limit time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// memory returns the memory of the process in MiB, as the platform sees it; 0 if it doesn't run.
func (p *process) memory() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		text, found := strings.CutPrefix(lines.Text(), "VmRSS:")
		if !found {
			continue
		}
		kib, err := strconv.Atoi(strings.Fields(text)[0])
		if err != nil {
			return 0
		}
		return kib >> 10
	}
	return 0
}
