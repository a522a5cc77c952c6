package main

import (
	"encoding/base64"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// completionTime is the users' bound completionS, and calmTime the calm end of it.
	completionTime = 18 * time.Second
	calmTime       = 5 * time.Second
	// quietTime is how long no item may have ended before the jobs are judged.
	quietTime = 3 * time.Second
	// maxReaders is the number of clients that read at the same time, and maxFaults is the number of
	// faults after which the check ends.
	maxReaders = 24
	maxFaults  = 3
	// storeTrouble is how long the store's disturbances last, by the site file.
	storeTrouble = 4500 * time.Millisecond
	// meanBody is the length of the body of an item, by the sheets.
	meanBody = 15_000
)

// words returns the data of a short event.
func words(id string, event int) string {
	return fmt.Sprintf("%s-word-%d", id, event)
}

// judge waits for the jobs until completionTime and the calm time after it have passed, and returns what is
// wrong.
func (d *deployment) judge(jobs []*job) ([]string, error) {
	d.record.printf("traffic has ended")
	until := time.Now().Add(completionTime + calmTime)
	open := d.awaitAll(jobs, until)
	d.record.printf("%d of %d jobs are not done", len(open), len(jobs))
	if running, quiet := d.atWorkers(); len(open) > 0 && (running > 0 || quiet < quietTime) {
		return nil, fmt.Errorf("the workers are not idle: %d run, the last ended %v ago", running, quiet)
	}
	faults := d.faultsOf(open)
	if len(faults) == 0 {
		faults = d.faultsOf(jobs)
	}
	return faults, nil
}

// faultsOf compares jobs with the rules and returns the first faults.
func (d *deployment) faultsOf(jobs []*job) []string {
	var group sync.WaitGroup
	var mu sync.Mutex
	var faults []string
	readers := make(chan struct{}, maxReaders)
	for _, j := range jobs {
		group.Go(func() {
			readers <- struct{}{}
			defer func() { <-readers }()
			mu.Lock()
			enough := len(faults) >= maxFaults
			mu.Unlock()
			if enough {
				return
			}
			fault := d.faultOf(j)
			mu.Lock()
			defer mu.Unlock()
			if fault != "" {
				faults = append(faults, fmt.Sprintf("%s: job %s of t%d, accepted with a 202: %s", d.rule, j.id, j.tenant, fault))
			}
		})
	}
	group.Wait()
	return faults
}

// awaitAll waits until all jobs are done, and returns those that are not done at a time.
func (d *deployment) awaitAll(jobs []*job, until time.Time) []*job {
	var group sync.WaitGroup
	var mu sync.Mutex
	var open []*job
	readers := make(chan struct{}, maxReaders)
	for _, j := range jobs {
		group.Go(func() {
			done := false
			for !done && time.Now().Before(until) {
				readers <- struct{}{}
				done = d.isDone(j)
				<-readers
				if !done {
					time.Sleep(500 * time.Millisecond)
				}
			}
			if !done {
				mu.Lock()
				defer mu.Unlock()
				open = append(open, j)
			}
		})
	}
	group.Wait()
	return open
}

// atWorkers returns the number of items that run, and since when none has ended.
func (d *deployment) atWorkers() (running int, quiet time.Duration) {
	quiet = time.Hour
	for _, k := range d.workers {
		running += len(k.slots)
		k.mu.Lock()
		if !k.endedAt.IsZero() {
			quiet = min(quiet, time.Since(k.endedAt))
		}
		k.mu.Unlock()
	}
	return running, quiet
}

// stream submits jobs of each tenant one after the other until stop closes.
func (d *deployment) stream(tenants int, pause time.Duration, stop <-chan struct{}, next func(tenant int) *job) func() []*job {
	var group sync.WaitGroup
	var mu sync.Mutex
	var accepted []*job
	for tenant := range tenants {
		group.Go(func() {
			for {
				j := next(tenant)
				if d.submit(j) {
					mu.Lock()
					accepted = append(accepted, j)
					mu.Unlock()
				}
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
			}
		})
	}
	return func() []*job {
		group.Wait()
		return accepted
	}
}

// mixedParts: the store is down for a second, several times, while jobs are submitted whose stored form takes
// several objects; later the store machines are restarted, as planned work.
func mixedParts(dir string, r *record, trouble bool) ([]string, error) {
	const (
		workers   = 9
		tenants   = 8
		waves     = 6
		items     = 150
		openItems = 2
		outage    = time.Second
		rest      = 2 * time.Second
		spread    = 400 * time.Millisecond
	)
	w := work{events: 10, interval: 15 * time.Millisecond, data: words}
	d, err := startDeployment(dir, r, workers, tenants, w)
	defer d.close()
	if err != nil {
		return nil, err
	}
	var jobs []*job
	for range waves {
		wait := d.wave(tenants, func(tenant int) *job {
			time.Sleep(rand.N(spread))
			return newJob(tenant, items, meanBody, joined(w))
		})
		time.Sleep(spread/2 + rand.N(spread/2))
		if trouble {
			d.store.down.Store(true)
			r.printf("the store is down")
		}
		time.Sleep(outage)
		d.store.down.Store(false)
		r.printf("the store is up")
		jobs = append(jobs, wait()...)
		time.Sleep(rest)
	}
	if len(jobs) == 0 {
		return nil, errors.New("no job was accepted")
	}
	// Ordinary jobs are open while the owners restart.
	long := work{events: 10, interval: 200 * time.Millisecond, data: words}
	for _, k := range d.workers {
		k.setWork(long)
	}
	stop := make(chan struct{})
	wait := d.stream(tenants, time.Second, stop, func(tenant int) *job { return newJob(tenant, openItems, meanBody, joined(long)) })
	time.Sleep(3 * time.Second)
	if err := d.restartOwners(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	close(stop)
	return d.judge(append(jobs, wait()...))
}

// wave submits one job of each tenant. The function it returns waits for the accepted ones.
func (d *deployment) wave(tenants int, next func(tenant int) *job) func() []*job {
	stop := make(chan struct{})
	close(stop)
	return d.stream(tenants, time.Hour, stop, next)
}

// manyJobs: a tenant has had many jobs, some are open, and the store machines are restarted, as planned
// work.
func manyJobs(dir string, r *record, trouble bool) ([]string, error) {
	const (
		finished   = 600
		submitters = 8
		openJobs   = 4
		openItems  = 10
		bodyBytes  = 300
	)
	short := work{events: 3, interval: 2 * time.Millisecond, data: words}
	d, err := startDeployment(dir, r, 6, 1, short)
	defer d.close()
	if err != nil {
		return nil, err
	}
	jobs := d.submitAll(finished, submitters, func() *job { return newJob(0, 1, bodyBytes, joined(short)) })
	if len(jobs) < finished {
		return nil, fmt.Errorf("only %d jobs were accepted", len(jobs))
	}
	if !d.awaitDone(jobs[len(jobs)-1], completionTime) {
		return nil, errors.New("the last of the short jobs doesn't end")
	}
	r.printf("%d jobs are done", len(jobs))
	long := work{events: 40, interval: 150 * time.Millisecond, data: words}
	for _, k := range d.workers {
		k.setWork(long)
	}
	open := d.submitAll(openJobs, 1, func() *job { return newJob(0, openItems, bodyBytes, joined(long)) })
	if len(open) < openJobs {
		return nil, errors.New("the long jobs were not accepted")
	}
	time.Sleep(time.Second)
	if trouble {
		if err := d.restartOwners(); err != nil {
			return nil, err
		}
	}
	return d.judge(open)
}

// submitAll submits jobs with some clients at the same time and returns the accepted ones.
func (d *deployment) submitAll(count, clients int, next func() *job) []*job {
	tokens := make(chan struct{}, count)
	for range count {
		tokens <- struct{}{}
	}
	close(tokens)
	var group sync.WaitGroup
	var mu sync.Mutex
	var accepted []*job
	for range clients {
		group.Go(func() {
			for range tokens {
				j := next()
				if d.submit(j) {
					mu.Lock()
					accepted = append(accepted, j)
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return accepted
}

// awaitDone waits until a job is done.
func (d *deployment) awaitDone(j *job, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if d.isDone(j) {
			return true
		}
	}
	return false
}

// largeResults: the store is down while the items of a job end whose outputs are long.
func largeResults(dir string, r *record, trouble bool) ([]string, error) {
	const workers, items, bodyBytes = 6, 180, 2000
	w := work{events: 204, interval: 15 * time.Millisecond, varied: true, data: dense}
	d, err := startDeployment(dir, r, workers, 1, w)
	defer d.close()
	if err != nil {
		return nil, err
	}
	jobs := d.submitAll(1, 1, func() *job { return newJob(0, items, bodyBytes, joined(w)) })
	if len(jobs) == 0 {
		return nil, errors.New("the job was not accepted")
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		r.printf("the store is down")
		d.store.down.Store(true)
	}
	time.Sleep(storeTrouble)
	d.store.down.Store(false)
	r.printf("the store is up")
	return d.judge(jobs)
}

// denseBytes is the length of an event's data, by the sheets.
const denseBytes = 75

// dense returns data without repetitions, always the same for an event of an item.
func dense(id string, event int) string {
	const alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"
	var b strings.Builder
	state := uint64(event) * 0x9e3779b97f4a7c15
	for _, c := range id {
		state = (state ^ uint64(c)) * 0x100000001b3
	}
	for range denseBytes {
		state ^= state << 13
		state ^= state >> 7
		state ^= state << 17
		b.WriteByte(alphabet[state>>32%64])
	}
	return b.String()
}

// smuggled: a tenant's items have headers and a path that the system must not pass on as they are.
func smuggled(dir string, r *record, trouble bool) ([]string, error) {
	const (
		workers, tenants = 3, 2
		attacker, victim = 0, 1
	)
	w := work{events: 5, interval: 10 * time.Millisecond, data: words}
	d, err := startDeployment(dir, r, workers, tenants, w)
	defer d.close()
	if err != nil {
		return nil, err
	}
	j := newJob(attacker, 3, meanBody, joined(w))
	hidden := randomID()
	body := fmt.Sprintf("0\r\n\r\nPOST /lots/x/%s HTTP/1.1\r\nHost: h.example\r\nX-Fescuebank-Request-Id: %s\r\n"+
		"X-Fescuebank-Tenant: t%d\r\nContent-Length: 0\r\n\r\n", hidden, hidden, victim)
	j.items[0].Body = base64.StdEncoding.EncodeToString([]byte(body))
	if trouble {
		j.items[0].Headers["Transfer-Encoding"] = "chunked"
		j.items[1].Headers["Authorization"] = fmt.Sprintf("Bearer key%d", attacker)
		j.items[2].Headers["x-fescuebank-tenant"] = fmt.Sprintf("t%d", victim)
	}
	if !d.submit(j) {
		return nil, errors.New("the job was not accepted")
	}
	if !d.awaitDone(j, completionTime) {
		return nil, errors.New("the job is not done")
	}
	time.Sleep(time.Second)
	return d.unasked(j), nil
}

// unasked returns what workers ran that isn't an item of the only job, with the tenant of that job and
// without a key.
func (d *deployment) unasked(j *job) []string {
	var faults []string
	paths := make(map[string]string)
	for _, i := range j.items {
		paths[i.ID] = i.Path
	}
	tenant := []string{fmt.Sprintf("t%d", j.tenant)}
	for _, k := range d.workers {
		k.mu.Lock()
		for _, got := range k.runs {
			if path, sent := paths[got.id]; !sent || got.method != "POST" || got.path != path || !slices.Equal(got.tenants, tenant) || len(got.keys) > 0 {
				faults = append(faults, fmt.Sprintf("UNASKED: worker %s ran %s %s, id %s, sent by a client: %v, tenant %q, key %q",
					k.id, got.method, got.path, got.id, sent, got.tenants, got.keys))
			}
		}
		k.mu.Unlock()
	}
	return faults
}

// sameID: the clients of two tenants choose the same id for their batch jobs.
func sameID(dir string, r *record, trouble bool) ([]string, error) {
	const workers, tenants, items = 3, 2, 6
	w := work{events: 20, interval: 50 * time.Millisecond, data: words}
	d, err := startDeployment(dir, r, workers, tenants, w)
	defer d.close()
	if err != nil {
		return nil, err
	}
	d.rule = "MIXED"
	var jobs []*job
	for tenant := range tenants {
		j := newJob(tenant, items, meanBody, joined(w))
		if trouble {
			j.id = "nightly-1"
		}
		if !d.submit(j) {
			return nil, errors.New("a job was not accepted")
		}
		jobs = append(jobs, j)
	}
	return d.judge(jobs)
}
