// Package lab starts instances of the daemon beside stand-ins of the platform's store and of its workers, and calls the
// instances as callers do.
package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// daemon is the program that the deploy file names, from the root of the project.
	daemon = "target/fescuebankd"
	// entryMemory and ownerMemory are the memory of the instances of celeste-pesca in MiB.
	entryMemory = 134
	ownerMemory = 154
	// exitTime is how long an instance may take to end at the end of a case.
	exitTime = 9 * time.Second
)

// Instance is one process of the system.
type Instance struct {
	Name string
	// Callers, Addresses and Ready are the addresses of an entry.
	Callers, Addresses, Ready string
	IsOwner                   bool

	path string
	log  *os.File
	cmd  *exec.Cmd
	done chan struct{}
}

// Fleet is a set of instances with their store and workers.
type Fleet struct {
	Store     *Store
	Workers   []*Worker
	Instances []*Instance

	dir string
	mu  sync.Mutex
}

// NewFleet returns a fleet without instances. Its settings and logs are in a temporary folder.
func NewFleet(store *Store) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "fescuebank-case-")
	if err != nil {
		return nil, err
	}
	return &Fleet{Store: store, dir: dir}, nil
}

// AddWorker starts a worker and registers it.
func (f *Fleet) AddWorker(k *Worker) error {
	if err := k.Start(); err != nil {
		return err
	}
	f.Workers = append(f.Workers, k)
	return f.Store.Put("servers/"+k.ID, k.Entry(time.Now()))
}

// AddInstance starts an instance with the settings that deploy/settings.ini gives. It reaches the store at a URL.
func (f *Fleet) AddInstance(name, zone string, isOwner bool, storeAddr string) (*Instance, error) {
	ports, err := freeAddrs(5)
	if err != nil {
		return nil, err
	}
	i := &Instance{Name: name, IsOwner: isOwner, path: filepath.Join(f.dir, name+".ini")}
	memory, weight := ownerMemory, 0.8
	if !isOwner {
		i.Callers, i.Ready, i.Addresses = ports[1], ports[2], ports[3]
		memory, weight = entryMemory, 0.4
	}
	settings := fmt.Sprintf("[instance]\nid = %s\nregion = rio-plata\nzone = %s\nweight = %g\n\n"+
		"[listen]\ncallers = %s\nready = %s\naddresses = %s\npeers = %s\nmetrics = %s\n\n"+
		"[platform]\nkind = objects\nurl = http://%s\nevacuations = false\n\n[roles]\nentry = %t\nowner = %t\nconsole = false\n\n"+
		"[limits]\nmemoryMiB = %d\n\n[timing]\ngrace = 8s\naddressTtl = 5s\n\n[log]\nlevel = info\njson = true\n",
		name, zone, weight, i.Callers, i.Ready, i.Addresses, ports[0], ports[4], storeAddr, !isOwner, isOwner, memory)
	if err := os.WriteFile(i.path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	if i.log, err = os.Create(filepath.Join(f.dir, name+".log")); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.Instances = append(f.Instances, i)
	f.mu.Unlock()
	return i, i.Start()
}

// Start starts the process.
func (i *Instance) Start() error {
	cmd := exec.Command(daemon, "serve", "--settings", i.path)
	cmd.Stdout, cmd.Stderr = i.log, i.log
	cmd.Env = append(os.Environ(), "FESCUEBANK_BOOT="+i.path)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	i.cmd, i.done = cmd, done
	go func() {
		_ = cmd.Wait() // How it ends is up to the case.
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (i *Instance) Signal(s syscall.Signal) {
	_ = i.cmd.Process.Signal(s) // It fails only if the process has ended.
}

// Wait waits until the process has ended and reports whether it has.
func (i *Instance) Wait(timeout time.Duration) bool {
	select {
	case <-i.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// AwaitReady waits until all entries are ready.
func (f *Fleet) AwaitReady(timeout time.Duration) error {
	for _, i := range f.Instances {
		until := time.Now().Add(timeout)
		for !i.IsOwner && !i.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", i.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (i *Instance) isReady() bool {
	resp, err := http.Get("http://" + i.Ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close ends all processes and removes the settings and logs, or keeps them if LAB_KEEP is set.
func (f *Fleet) Close() {
	for _, i := range f.Instances {
		i.Signal(syscall.SIGKILL)
		i.Wait(exitTime)
		_ = i.log.Close()
	}
	for _, k := range f.Workers {
		k.Crash()
	}
	if os.Getenv("LAB_KEEP") != "" {
		fmt.Fprintln(os.Stderr, "logs are in", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir) // What is left is temporary.
}

// The ports from firstPort on, portCount in number, are below the range from which the system picks ports for outgoing
// connections.
const (
	firstPort = 10_000
	portCount = 20_000
)

// freeAddrs returns loopback addresses with free ports.
func freeAddrs(count int) ([]string, error) {
	var list []string
	for range portCount {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.N(portCount)))
		if err != nil {
			continue // The port is in use.
		}
		defer l.Close()
		list = append(list, l.Addr().String())
		if len(list) == count {
			return list, nil
		}
	}
	return nil, errors.New("no free port")
}
