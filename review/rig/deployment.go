package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// grace is the time from SIGTERM to SIGKILL, by the sheets.
	grace = 8 * time.Second
	// startTime bounds the time until the deployment serves.
	startTime = 15 * time.Second
)

// instance is a process of the project.
type instance struct {
	name    string
	callers string
	memory  int
	process *process
	log     *os.File
}

// deployment is two entry instances and two store machines, with workers and the platform's store.
type deployment struct {
	// rule is the rule that a case checks.
	rule      string
	record    *record
	store     *store
	workers   []*worker
	instances []*instance
	// ports are those that instances listen on.
	ports map[int]bool
}

// running is the deployment whose processes run.
var running atomic.Pointer[deployment]

// startDeployment starts everything and waits until batch jobs can be submitted. What it returns must
// be closed, also after an error.
func startDeployment(dir string, r *record, workers, tenants int, w work) (*deployment, error) {
	d := &deployment{rule: "LOST", record: r, ports: make(map[int]bool)}
	running.Store(d)
	var err error
	if d.store, err = startStore(r); err != nil {
		return d, err
	}
	if err := d.store.config(tenants); err != nil {
		return d, err
	}
	for i := range workers {
		k, err := startWorker(fmt.Sprintf("i-%d", i), r, d.store, w)
		if err != nil {
			return d, err
		}
		d.workers = append(d.workers, k)
	}
	for _, name := range []string{"front-1", "front-2", "store-1", "store-2"} {
		if err := d.startInstance(dir, name, name[0] == 'f'); err != nil {
			return d, err
		}
	}
	for until := time.Now().Add(startTime); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if d.serves() {
			r.printf("all serve")
			return d, nil
		}
	}
	return d, fmt.Errorf("the deployment doesn't serve")
}

// serves reports whether every entry instance reaches the owner of every tenant's jobs.
func (d *deployment) serves() bool {
	for _, e := range d.entries() {
		status, _ := d.call(http.MethodGet, e.callers, "/api/items/none?id=x", "", 0, time.Second, nil)
		if status != http.StatusNotFound {
			return false
		}
	}
	return true
}

// startInstance writes the settings that deploy/settings.ini gives, and starts the command of
// deploy/system.toml.
func (d *deployment) startInstance(dir, name string, entry bool) error {
	ports, err := d.freeAddresses(5)
	if err != nil {
		return err
	}
	i := &instance{name: name}
	listen, memory, share := "", 154, 0.8
	if entry {
		i.callers, memory, share = ports[0], 134, 0.4
		listen = fmt.Sprintf("callers = %s\nready = %s\naddresses = %s\n", ports[0], ports[1], ports[2])
	}
	settings := fmt.Sprintf(`[instance]
id = %s
region = r
zone = z
weight = %g

[listen]
%speers = %s
metrics = %s

[platform]
kind = objects
url = %s
evacuations = false

[roles]
entry = %t
owner = %t
console = false

[limits]
memoryMiB = %d

[timing]
grace = %s
addressTtl = 5s

[log]
level = info
json = true
`, name, share, listen, ports[3], ports[4], d.store.url, entry, !entry, memory, grace)
	path := filepath.Join(dir, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	if i.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return err
	}
	i.memory = memory
	i.process = &process{args: []string{"serve", "--settings", path}, log: i.log}
	d.instances = append(d.instances, i)
	return i.process.start()
}

const (
	// firstPort and portCount are a range below the one from which the system picks ports for outgoing
	// connections.
	firstPort = 10_000
	portCount = 10_000
	// portTries bounds the search for free ports.
	portTries = 1000
)

// freeAddresses returns loopback addresses whose ports are free and that it hasn't returned before.
func (d *deployment) freeAddresses(count int) ([]string, error) {
	var list []string
	for range portTries {
		if len(list) == count {
			return list, nil
		}
		port := firstPort + rand.IntN(portCount)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		if !d.ports[port] {
			d.ports[port] = true
			list = append(list, l.Addr().String())
		}
	}
	return nil, errors.New("no free port")
}

// entries returns the instances that clients call.
func (d *deployment) entries() []*instance {
	return d.instances[:2]
}

// restart stops an instance as the platform does, SIGTERM and after the grace period SIGKILL, and starts
// it again.
func (d *deployment) restart(i *instance) error {
	d.record.printf("SIGTERM to %s", i.name)
	i.process.signal(syscall.SIGTERM)
	if !i.process.wait(grace) {
		i.process.signal(syscall.SIGKILL)
		i.process.wait(time.Second)
		d.record.printf("SIGKILL to %s", i.name)
	}
	d.record.printf("%s starts again", i.name)
	return i.process.start()
}

// restartOwners restarts the store machines one after the other.
func (d *deployment) restartOwners() error {
	for _, i := range d.instances[2:] {
		if err := d.restart(i); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
	}
	return nil
}

// kill ends all processes.
func (d *deployment) kill() {
	for _, i := range d.instances {
		i.process.signal(syscall.SIGKILL)
	}
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	d.kill()
	for _, i := range d.instances {
		i.process.wait(2 * time.Second)
		_ = i.log.Close()
	}
	for _, k := range d.workers {
		_ = k.server.Close()
	}
	if d.store != nil {
		_ = d.store.server.Close()
	}
}
