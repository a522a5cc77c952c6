package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"fescuebank"
	"fescuebank/platform/simulator"
)

const (
	// storeTime is how long the platform's store takes for an answer.
	storeTime = 4 * time.Millisecond
	// contactTime is the bound contactMs of the pages.
	contactTime = 3 * time.Second
	// graceSeconds is the bound graceS of the pages.
	graceSeconds = 8
	// settleTime is how long after the start the first request is sent; the pages allow 10 s.
	settleTime = 5 * time.Second
	// startTimeout bounds the wait until the instances serve.
	startTimeout = 20 * time.Second
	// itemEvents is the number of events of an item, and eventInterval the time between two, by the sheet: 9 tokens of
	// 2.55 ms each.
	itemEvents    = 204
	eventInterval = 23 * time.Millisecond
	// itemTime is how long an endpoint works on an item.
	itemTime = itemEvents * eventInterval
	// submitInterval is the time between two jobs in a burst of batch jobs: six times the sheet's 0.514 a second. Such a burst
	// takes 3 s, so that it has nine jobs.
	submitInterval = 324 * time.Millisecond
	// service is the name of the only service.
	service = "pesca-lm"
	// host is the host of all routes.
	host = "pesca.example"
)

// rig is one deployment on loopback.
type rig struct {
	daemon string
	folder string
	began  time.Time

	recordMu sync.Mutex
	record   *os.File

	store     *simulator.Store
	server    *http.Server
	storeURL  string
	instances []*instance
	endpoints []*simulator.Endpoint
	// addrs are the addresses that were given to instances.
	addrs map[string]bool
}

// newRig starts the platform's store.
func newRig(daemon, record string) (*rig, error) {
	daemon, err := filepath.Abs(daemon)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &rig{daemon: daemon, folder: folder, began: time.Now(), record: f, store: &simulator.Store{}, addrs: make(map[string]bool)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.storeURL = "http://" + l.Addr().String()
	r.server = &http.Server{Handler: http.HandlerFunc(r.serveStore)}
	go func() { _ = r.server.Serve(l) }()
	return r, nil
}

// serveStore answers a call after storeTime.
func (r *rig) serveStore(w http.ResponseWriter, q *http.Request) {
	time.Sleep(storeTime)
	r.store.ServeHTTP(w, q)
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// put writes an object of the platform as its operator or an endpoint would.
func (r *rig) put(key, value string) error {
	ctx := context.Background()
	o, _ := r.store.Memory.Get(ctx, key)
	_, err := r.store.Memory.Put(ctx, key, []byte(value), o.Version)
	return err
}

// startEndpoint starts an endpoint and registers it.
func (r *rig) startEndpoint(e *simulator.Endpoint, zone string, slots int) error {
	addr, err := e.Start()
	if err != nil {
		return err
	}
	r.endpoints = append(r.endpoints, e)
	entry := simulator.Entry{Service: service, Address: addr, Zone: fescuebank.Zone(zone), Version: "a", Slots: slots, State: simulator.StateReady}
	return r.put(simulator.EntryKey(e.ID), entry.BornAt(time.Now()).Value())
}

// instance is one process of the daemon.
type instance struct {
	id      string
	callers string
	ready   string
	log     string
	// settings is the path of the settings file.
	settings string
	command  *exec.Cmd
	done     chan struct{}
}

// freeAddr returns a free address that it has not returned before. It is on a loopback address from which no connection is
// made, so that no connection takes its port before the instance opens it.
func (r *rig) freeAddr() string {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", os.Getpid()>>8&0xff, os.Getpid()&0xfe|1))
		if err != nil {
			return "127.0.0.1:0"
		}
		addr := l.Addr().String()
		_ = l.Close()
		if !r.addrs[addr] {
			r.addrs[addr] = true
			return addr
		}
	}
}

// startInstance starts an instance with the entry role, or else with the owner role, with the settings that
// deploy/settings.ini renders.
func (r *rig) startInstance(id, zone string, entry bool) (*instance, error) {
	n := &instance{id: id, log: filepath.Join(r.folder, id+".log")}
	listen := "peers = " + r.freeAddr() + "\n"
	memory, weight := 154, 0.8
	if entry {
		n.callers, n.ready = r.freeAddr(), r.freeAddr()
		listen += "callers = " + n.callers + "\nready = " + n.ready + "\naddresses = " + r.freeAddr() + "\n"
		memory, weight = 134, 0.4
	}
	settings := fmt.Sprintf("[instance]\nid = %s\nregion = rio-plata\nzone = %s\nweight = %g\n\n[listen]\n%s\n[platform]\nkind = objects\nurl = %s\nevacuations = false\n\n"+
		"[roles]\nentry = %t\nowner = %t\nconsole = false\n\n[limits]\nmemoryMiB = %d\n\n[timing]\ngrace = %ds\naddressTtl = 5s\n\n[log]\nlevel = info\njson = true\n",
		id, zone, weight, listen, r.storeURL, entry, !entry, memory, graceSeconds)
	path := filepath.Join(r.folder, id+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	n.settings = path
	r.instances = append(r.instances, n)
	return n, r.restart(n)
}

// restart starts the process of an instance that doesn't run.
func (r *rig) restart(n *instance) error {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command, n.done = exec.Command(r.daemon, "serve", "--settings", n.settings), make(chan struct{})
	n.command.Stdout, n.command.Stderr = out, out
	if err := n.command.Start(); err != nil {
		close(n.done)
		return err
	}
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		_ = out.Close()
		close(done)
	}(n.command, n.done)
	return nil
}

// startDeployment starts endpoints that generate itemEvents events, three owners and two entries, and returns the instances once callers are
// served. onRun is called with the id of each request that reaches an endpoint.
func (r *rig) startDeployment(endpoints int, onRun func(id string)) (owners, entries []*instance, err error) {
	if err := r.put("config/main", batchConfig); err != nil {
		return nil, nil, err
	}
	for i := range endpoints {
		e := &simulator.Endpoint{ID: fmt.Sprintf("i-%d", i), Events: itemEvents, EventInterval: eventInterval}
		e.OnRequest = func(q *http.Request, _ simulator.Fault) { onRun(q.Header.Get("X-Fescuebank-Request-Id")) }
		if err := r.startEndpoint(e, "plata-a", 8); err != nil {
			return nil, nil, err
		}
	}
	for i, zone := range []string{"plata-a", "plata-b", "plata-c"} {
		n, err := r.startInstance(fmt.Sprintf("store-%d", i+1), zone, false)
		if err != nil {
			return nil, nil, err
		}
		owners = append(owners, n)
	}
	for i, zone := range []string{"plata-a", "plata-b"} {
		n, err := r.startInstance(fmt.Sprintf("front-%d", i+1), zone, true)
		if err != nil {
			return nil, nil, err
		}
		entries = append(entries, n)
	}
	if err := r.awaitReady(); err != nil {
		return nil, nil, err
	}
	time.Sleep(settleTime)
	return owners, entries, nil
}

// stop sends SIGTERM and waits until the process has ended.
func (n *instance) stop() {
	_ = n.command.Process.Signal(syscall.SIGTERM)
	<-n.done
}

// logTail returns the end of the instance's log.
func (n *instance) logTail() string {
	const tail = 600
	b, _ := os.ReadFile(n.log)
	return string(b[max(0, len(b)-tail):])
}

// logs reports whether the log of the instance has a line with all the texts.
func (n *instance) logs(texts ...string) bool {
	b, err := os.ReadFile(n.log)
	if err != nil {
		return false
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		all := true
		for _, text := range texts {
			all = all && strings.Contains(line, text)
		}
		if all {
			return true
		}
	}
	return false
}

// awaitReady waits until the entries are ready.
func (r *rig) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, n := range r.instances {
		for n.ready != "" {
			resp, err := http.Get("http://" + n.ready + "/api/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s doesn't get ready; its log: %s", n.id, n.logTail())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes that the rig has started.
func (r *rig) close() {
	for _, n := range r.instances {
		if n.command.Process != nil {
			_ = n.command.Process.Kill()
		}
		<-n.done
	}
	for _, e := range r.endpoints {
		e.Stop()
	}
	_ = r.server.Close()
	_ = r.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	}
}

// jsonText returns the JSON encoding of a value that can be encoded.
func jsonText(value any) string {
	b, _ := json.Marshal(value)
	return string(b)
}
