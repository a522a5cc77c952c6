// Package rig4 runs a small deployment on loopback for the cases of the third review: instances as separate
// processes, with a simulated store and simulated endpoints in the process of the case.
package rig4

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fescuebank"
	"fescuebank/platform/simulator"
)

// Exit codes of a case.
const (
	ExitHeld      = 0
	ExitBroken    = 1
	ExitNotPlayed = 2
)

const (
	daemonPath = "target/fescuebankd"
	host       = "app.example"
	// Service is the service of all routes.
	Service = "lm"
	// heartbeatInterval is how often an endpoint writes its entry.
	heartbeatInterval = 1200 * time.Millisecond
	// readyTimeout bounds the start of the instances, and stopTimeout their end.
	readyTimeout = 20 * time.Second
	stopTimeout  = 10 * time.Second
	slots        = 8
	// watchInterval is how often a watch looks whether it hears something again.
	watchInterval = 5 * time.Millisecond
	firstPort     = 10_000
	portCount     = 10_000
)

// Rig is a deployment. Its record lists what was sent, answered and run.
type Rig struct {
	Store *simulator.Store
	// Entries are the addresses for callers.
	Entries []string

	dir       string
	storeAddr string
	began     time.Time
	nextPort  int
	commands  map[string]*exec.Cmd
	ready     []string

	// forgetting is set while watches hear nothing, and historySince is the version at which the history begins.
	forgetting   atomic.Bool
	historySince atomic.Uint64

	mu     sync.Mutex
	record *os.File
}

// New starts the store and writes the configuration: a route of streams that may be resumed under /chat/, one of
// streams that may not under /once/, one of answers that may be asked for again under /docs/, one of batch jobs under /jobs/, and the teams, which have no rate limit.
func New(recordPath string, teams ...string) (*Rig, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Rig{
		Store: &simulator.Store{}, dir: dir, storeAddr: listener.Addr().String(), began: time.Now(), commands: make(map[string]*exec.Cmd), nextPort: os.Getpid() * 131, record: record,
	}
	server := &http.Server{Handler: http.HandlerFunc(r.serveStore), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	var tenants []string
	for _, team := range teams {
		tenants = append(tenants, fmt.Sprintf(`{"name":%q,"apiKeys":[%q]}`, team, key(team)))
	}
	return r, r.Put("config/main", fmt.Sprintf(config, strings.Join(tenants, ",")))
}

const config = `{"version":1,"routes":[
{"name":"chat","host":"app.example","pathPrefix":"/chat/","kind":"streaming","resumable":true,"timeoutMs":5000,"targetLatencyMs":300,"targetGapMs":400,"priority":0,"trafficSplit":[{"service":"lm","weight":100}],"maxAttempts":2,"public":false,"sticky":true},
{"name":"once","host":"app.example","pathPrefix":"/once/","kind":"streaming","resumable":false,"timeoutMs":5000,"targetLatencyMs":300,"targetGapMs":400,"priority":0,"trafficSplit":[{"service":"lm","weight":100}],"maxAttempts":1,"public":false,"sticky":true},
{"name":"docs","host":"app.example","pathPrefix":"/docs/","kind":"idempotent","timeoutMs":10000,"targetLatencyMs":300,"priority":0,"trafficSplit":[{"service":"lm","weight":100}],"maxAttempts":2,"public":false},
{"name":"jobs","host":"app.example","pathPrefix":"/jobs/","kind":"batch","resumable":true,"timeoutMs":15000,"targetLatencyMs":400,"targetGapMs":400,"priority":2,"trafficSplit":[{"service":"lm","weight":100}],"maxAttempts":3,"public":false,"cap":820000,"targetRunMs":18000,"retentionS":60}],
"services":[{"name":"lm","healthPath":"/healthz","maxConnections":370}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[%s]}`

// key returns the API key of a team.
func key(team string) string {
	return "key-" + team
}

// serveStore serves the store. A watch waits for a change as long as the caller asks for, which that of the simulated store
// doesn't.
func (r *Rig) serveStore(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	if req.Method != http.MethodGet || !query.Has("watch") {
		r.Store.ServeHTTP(w, req)
		return
	}
	from, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	prefix := strings.TrimPrefix(req.URL.Path, "/api/objects/") + "/"
	changed, at, err := r.awaitChange(req.Context(), prefix, fescuebank.StoreVersion(from), time.Duration(wait)*time.Millisecond)
	switch {
	case errors.Is(err, fescuebank.ErrWatchLost):
		w.WriteHeader(http.StatusGone)
		return
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	events := make([]string, len(changed))
	for i, o := range changed {
		value := string(o.Value)
		if o.Deleted {
			value = "null"
		}
		events[i] = fmt.Sprintf(`{"object":{"metadata":{"name":%q,"rev":%d},"spec":%s},"deleted":%t}`, strings.TrimPrefix(o.Key, prefix), o.Version, value, o.Deleted)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"events":[%s],"at":%d}`, strings.Join(events, ","), at)
}

// awaitChange waits for changes of a kind after a version. While the store forgets its history it hears nothing, and then
// what came before is gone.
func (r *Rig) awaitChange(ctx context.Context, prefix string, from fescuebank.StoreVersion, wait time.Duration) ([]fescuebank.Object, fescuebank.StoreVersion, error) {
	for until := time.Now().Add(wait); ctx.Err() == nil && time.Now().Before(until); {
		if r.forgetting.Load() {
			time.Sleep(watchInterval)
			continue
		}
		if uint64(from) < r.historySince.Load() {
			return nil, 0, fescuebank.ErrWatchLost
		}
		changed, at, err := r.Store.Memory.Watch(ctx, prefix, from)
		if r.forgetting.Load() {
			continue
		}
		if err != nil || len(changed) > 0 {
			return changed, at, err
		}
	}
	return nil, from, nil
}

// Forget makes the store forget its history: watches hear nothing for a time, then they are cut.
func (r *Rig) Forget(blind time.Duration) {
	r.forgetting.Store(true)
	r.Log("watches hear nothing from now on")
	time.Sleep(blind)
	_, at, _ := r.Store.Memory.List(context.Background(), "config/") // The simulated store has no faults.
	r.historySince.Store(uint64(at))
	r.forgetting.Store(false)
	r.Log("the history before version %d is gone", at)
}

// Put writes an object, whatever its version.
func (r *Rig) Put(key, value string) error {
	for {
		o, err := r.Store.Memory.Get(context.Background(), key)
		if err != nil && !errors.Is(err, fescuebank.ErrAbsent) {
			return err
		}
		_, err = r.Store.Memory.Put(context.Background(), key, []byte(value), o.Version)
		if !errors.Is(err, fescuebank.ErrVersion) {
			return err
		}
	}
}

// Log adds a line to the record.
func (r *Rig) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Entry returns the entry of an endpoint of a version as the endpoint itself writes it.
func Entry(version, addr string, born time.Time, sequence int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-a","version":%q,"slots":%d,"state":"ready","coldLeftMs":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"seq":%d,"born":%d}`,
		Service, addr, version, slots, sequence, born.UnixMilli())
}

// StartEndpoint starts an endpoint, which writes its entry at each heartbeat.
func (r *Rig) StartEndpoint(e *simulator.Endpoint) (addr string, born time.Time, err error) {
	if addr, err = e.Start(); err != nil {
		return "", time.Time{}, err
	}
	born = time.Now()
	if err := r.Put(simulator.EntryKey(e.ID), Entry(e.Version, addr, born, 0)); err != nil {
		return "", time.Time{}, err
	}
	r.Log("endpoint %s of version %s serves at %s", e.ID, e.Version, addr)
	go func() {
		for sequence := 1; ; sequence++ {
			time.Sleep(heartbeatInterval)
			_ = r.Put(simulator.EntryKey(e.ID), Entry(e.Version, addr, born, sequence))
		}
	}()
	return addr, born, nil
}

// StartInstances starts instances that accept requests and instances that own teams, and waits until those that
// accept requests are ready.
func (r *Rig) StartInstances(entries, owners int) error {
	for i := range entries {
		if err := r.startInstance(fmt.Sprintf("front-%d", i), true); err != nil {
			return err
		}
	}
	for i := range owners {
		if err := r.startInstance(fmt.Sprintf("store-%d", i), false); err != nil {
			return err
		}
	}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if r.allReady() {
			return nil
		}
	}
	return errors.New("the instances are not ready")
}

// startInstance writes settings as the platform renders them, and starts the process.
func (r *Rig) startInstance(name string, entry bool) error {
	ports := r.FreePorts(4)
	callers, ready, addresses, memory, weight := "", "", "", 154, 0.8
	if entry {
		callers, ready, addresses, memory, weight = ports[1], ports[2], ports[3], 134, 0.4
	}
	settings := fmt.Sprintf("[instance]\nid = %s\nregion = region-a\nzone = zone-a\nweight = %g\n"+
		"[listen]\ncallers = %s\nready = %s\naddresses = %s\npeers = %s\n"+
		"[platform]\nkind = objects\nurl = http://%s\nevacuations = false\n"+
		"[roles]\nentry = %t\nowner = %t\nconsole = false\n[limits]\nmemoryMiB = %d\n"+
		"[timing]\ngrace = 8s\naddressTtl = 5s\n[log]\nlevel = info\njson = true\n",
		name, weight, callers, ready, addresses, ports[0], r.storeAddr, entry, !entry, memory)
	path := filepath.Join(r.dir, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	if entry {
		r.Entries, r.ready = append(r.Entries, callers), append(r.ready, ready)
	}
	return r.run(name)
}

// run starts the process of an instance whose settings are written.
func (r *Rig) run(name string) error {
	path := filepath.Join(r.dir, name+".ini")
	log, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(daemonPath, "serve", "--settings", path)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	r.commands[name] = command
	return nil
}

// Restart stops an instance with SIGTERM and starts it again once it has ended.
func (r *Rig) Restart(name string) error {
	if err := r.Signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	if err := r.commands[name].Wait(); err != nil {
		return err
	}
	r.Log("%s starts again", name)
	return r.run(name)
}

// FreePorts returns loopback addresses with ports below the range from which the system picks.
func (r *Rig) FreePorts(count int) []string {
	var list []string
	for tries := 0; len(list) < count && tries < portCount; tries++ {
		r.nextPort++
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+r.nextPort%portCount))
		if err != nil {
			continue // The port is in use.
		}
		list = append(list, listener.Addr().String())
		_ = listener.Close()
	}
	return list
}

func (r *Rig) allReady() bool {
	for _, addr := range r.ready {
		resp, err := http.Get("http://" + addr + "/api/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// Request returns a request of a team's caller to an instance.
func Request(ctx context.Context, team, method, entry, path, id, body string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+key(team))
	req.Header.Set("X-Fescuebank-Request-Id", id)
	return req, nil
}

// Signal sends a signal to the process of an instance.
func (r *Rig) Signal(name string, s os.Signal) error {
	r.Log("%s gets the signal %q", name, s)
	return r.commands[name].Process.Signal(s)
}

// Close ends all processes that the rig has started.
func (r *Rig) Close() {
	for _, c := range r.commands {
		_ = c.Process.Signal(os.Interrupt)
	}
	ended := make(chan struct{})
	go func() {
		for _, c := range r.commands {
			_ = c.Wait()
		}
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		for _, c := range r.commands {
			_ = c.Process.Kill()
		}
		<-ended
	}
	_ = r.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}
