package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"fescuebank"
	"fescuebank/platform/simulator"
)

const (
	memoryMiB     = 134
	graceTime     = 8 * time.Second
	callerTimeout = 12 * time.Second
	host          = "h.example"
	service       = "lm"
)

// instance is one process of the daemon.
type instance struct {
	id       string
	owner    bool
	callers  string
	ready    string
	settings string
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// fleet is a small deployment on loopback: a store, endpoints and the project's own processes.
type fleet struct {
	dir         string
	daemon      string
	record      *record
	store       *simulator.Store
	storeServer *http.Server
	storeAddr   string
	instances   []*instance
	endpoints   []*endpoint
	client      *http.Client
}

func newFleet(daemon string, r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		dir: dir, daemon: daemon, record: r, store: &simulator.Store{},
		client: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return f, err
	}
	f.storeAddr = l.Addr().String()
	f.storeServer = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Second}
	go func() { _ = f.storeServer.Serve(l) }()
	return f, nil
}

// put writes an object as the operator or an endpoint does.
func (f *fleet) put(key string, value any) error {
	b, err := json.Marshal(value)
	if err != nil {
		return err
	}
	ctx := context.Background()
	o, err := f.store.Memory.Get(ctx, key)
	if err != nil && !errors.Is(err, fescuebank.ErrAbsent) {
		return err
	}
	_, err = f.store.Memory.Put(ctx, key, b, o.Version)
	return err
}

// addInstance starts an instance with settings like those that the deploy file renders.
func (f *fleet) addInstance(id, zone string, owner bool) error {
	ports, err := freeAddresses(5)
	if err != nil {
		return err
	}
	i := &instance{id: id, owner: owner, callers: ports[1], ready: ports[2], settings: filepath.Join(f.dir, id+".ini")}
	listen := fmt.Sprintf("peers = %s\nmetrics = %s\n", ports[0], ports[4])
	if !owner {
		listen += fmt.Sprintf("callers = %s\nready = %s\naddresses = %s\n", ports[1], ports[2], ports[3])
	}
	text := fmt.Sprintf("[instance]\nid = %s\nregion = r\nzone = %s\nweight = 0.4\n[listen]\n%s[platform]\nkind = objects\nurl = http://%s\nevacuations = false\n"+
		"[roles]\nentry = %t\nowner = %t\nconsole = false\n[limits]\nmemoryMiB = %d\n[timing]\ngrace = %s\naddressTtl = 5s\n[log]\nlevel = info\njson = true\n",
		id, zone, listen, f.storeAddr, !owner, owner, memoryMiB, graceTime)
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if i.log, err = os.Create(filepath.Join(f.dir, id+".log")); err != nil {
		return err
	}
	f.instances = append(f.instances, i)
	return f.start(i)
}

func (f *fleet) start(i *instance) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.command = exec.Command(f.daemon, "serve", "--settings", i.settings)
	i.command.Stdout, i.command.Stderr = i.log, i.log
	if err := i.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.exited = exited
	go func(c *exec.Cmd) {
		_ = c.Wait()
		close(exited)
	}(i.command)
	f.record.add("start %s", i.id)
	return nil
}

// signal sends a signal to an instance's process.
func (f *fleet) signal(i *instance, s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command != nil {
		_ = i.command.Process.Signal(s)
	}
	f.record.add("signal %v to %s", s, i.id)
}

// kill kills an instance and waits until it is gone.
func (f *fleet) kill(i *instance) {
	f.signal(i, syscall.SIGKILL)
	<-i.exited
}

// isReady asks an instance whether it accepts requests.
func (f *fleet) isReady(i *instance) bool {
	resp, err := f.client.Get("http://" + i.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all instances that accept requests are ready.
func (f *fleet) awaitReady(within time.Duration) error {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, i := range f.entries() {
			all = all && f.isReady(i)
		}
		if all {
			return nil
		}
	}
	return errors.New("the instances didn't become ready")
}

func (f *fleet) entries() []*instance {
	var list []*instance
	for _, i := range f.instances {
		if !i.owner {
			list = append(list, i)
		}
	}
	return list
}

// owner returns the instance that owns a team by the list in the store, or nil.
func (f *fleet) owner(team fescuebank.TeamID) *instance {
	o, err := f.store.Memory.Get(context.Background(), fescuebank.OwnerListKey)
	if err != nil {
		return nil
	}
	var list fescuebank.OwnerList
	if json.Unmarshal(o.Value, &list) != nil {
		return nil
	}
	h, ok := list.Owner(team)
	if !ok {
		return nil
	}
	for _, i := range f.instances {
		if i.id == string(h.ID) {
			return i
		}
	}
	return nil
}

// close ends all processes that the fleet has started.
func (f *fleet) close() {
	for _, i := range f.instances {
		i.mu.Lock()
		if i.command != nil {
			_ = i.command.Process.Signal(syscall.SIGCONT)
			_ = i.command.Process.Kill()
		}
		i.mu.Unlock()
		<-i.exited
		_ = i.log.Close()
	}
	for _, e := range f.endpoints {
		e.stop()
	}
	if f.storeServer != nil {
		_ = f.storeServer.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// The ports from firstPort on, portCount in number, are below those that the system picks for outgoing connections.
const (
	firstPort = 12_000
	portCount = 16_000
)

// nextPort grows with each attempt, so that no two instances share a port.
var nextPort = os.Getpid() * 131

// freeAddresses returns loopback addresses whose ports are free.
func freeAddresses(count int) ([]string, error) {
	var list []string
	for tries := 0; len(list) < count && tries < portCount; tries++ {
		nextPort++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort%portCount))
		if err != nil {
			continue // The port is in use.
		}
		list = append(list, l.Addr().String())
		_ = l.Close()
	}
	if len(list) < count {
		return nil, errors.New("no free ports")
	}
	return list, nil
}
