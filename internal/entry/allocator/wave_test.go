package allocator_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fescuebank"
	"fescuebank/internal/batch/pacer"
	"fescuebank/internal/entry/allocator"
	"fescuebank/internal/load/forecaster"
	"fescuebank/internal/timing/timekeeper"
)

// The load that a simulated wave has: the rate of online requests alternates between the two
// shares of its mean.
const (
	troughTime  = 3400 * time.Millisecond
	crestTime   = 2400 * time.Millisecond
	troughShare = 0.383
	crestShare  = 1.87
	waveLength  = 12 * time.Second

	itemsPerSecond = 45

	onlineHold    = 700 * time.Millisecond
	batchHold     = 4800 * time.Millisecond
	waveObjective = 300 * time.Millisecond
	// firstEventTime is the time from the start at an endpoint to the first event.
	firstEventTime = 35 * time.Millisecond
	// cancelTime is how long a cancelled item takes to leave its endpoint.
	cancelTime = 15 * time.Millisecond
)

// waveFleet simulates the entries and owners of a fleet, which exchange their counts with a
// lag, and endpoints that run what arrives in order.
type waveFleet struct {
	random  *rand.Rand
	entries []*allocator.Allocator
	owners  []*simulatedOwner
	// own holds the counts that each instance last published, sums those of all instances
	// at past times.
	own  []publishedCounts
	sums []publishedCounts
	lag  time.Duration
	// itemInterval is the time between two batch items of one owner.
	itemInterval time.Duration
	// length is how long the wave is played.
	length time.Duration
	// forecaster observes the online load as the owners know it; nil if they don't use it.
	forecaster *forecaster.Forecaster

	mu        sync.Mutex
	endpoints map[fescuebank.EndpointID]*simulatedEndpoint
	result    waveResult
}

// publishedCounts are counts as of a time.
type publishedCounts struct {
	at             time.Time
	counts         fescuebank.EndpointCounts
	waiting, batch int
	starts         uint64
}

// waveResult counts what callers got.
type waveResult struct {
	requests, inTime, late, refused int
	// refusedFree counts the refusals while an endpoint had a free slot.
	refusedFree int
	itemsDone   int
	preempted   int
	// itemTime is the sum of the times from the arrival of the items that are done to their end.
	itemTime time.Duration
}

func (r waveResult) share(n int) float64 {
	return float64(n) / float64(max(1, r.requests))
}

// simulatedEndpoint runs up to slots requests and queues the others in order of arrival.
type simulatedEndpoint struct {
	running int
	slots   int
	queue   []*arrival
}

// arrival is one request at an endpoint. It is started when a slot is free.
type arrival struct {
	start   func()
	started bool
}

func (e *simulatedEndpoint) arrive(a *arrival) {
	e.queue = append(e.queue, a)
	e.startNext()
}

func (e *simulatedEndpoint) startNext() {
	for e.running < e.slots && len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		next.started = true
		next.start()
	}
}

func (e *simulatedEndpoint) leave(a *arrival) {
	if !a.started {
		e.queue = slices.DeleteFunc(e.queue, func(q *arrival) bool { return q == a })
		return
	}
	e.running--
	e.startNext()
}

// simulatedOwner runs batch items as long as slots are free for them.
type simulatedOwner struct {
	allocator *allocator.Allocator
	pacer     *pacer.Pacer
	running   []*simulatedItem
	others    int
	// pending holds what is left to do of the items that wait for a slot, and nextItem is
	// when the next one arrives.
	pending  []pendingItem
	nextItem time.Time
}

// pendingItem is an item that waits for a slot.
type pendingItem struct {
	left    time.Duration
	arrived time.Time
}

type simulatedItem struct {
	slot      *allocator.Slot
	arrival   *arrival
	cancelled bool
	startedAt time.Time
	left      time.Duration
	arrived   time.Time
	done      *time.Timer
}

func newWaveFleet(entries, owners, endpointCount int, lag time.Duration) *waveFleet {
	f := &waveFleet{random: rand.New(rand.NewPCG(7, 7)), lag: lag, length: waveLength, endpoints: make(map[fescuebank.EndpointID]*simulatedEndpoint)}
	list := endpoints(endpointCount, 8)
	for _, e := range list {
		f.endpoints[e.ID] = &simulatedEndpoint{slots: e.Slots}
	}
	for i := range entries + owners {
		a := allocator.New(timekeeper.Timekeeper{}, func() {})
		a.SetEndpoints(list)
		if i < entries {
			f.entries = append(f.entries, a)
			continue
		}
		f.owners = append(f.owners, &simulatedOwner{allocator: a, pacer: pacer.New()})
	}
	f.own = make([]publishedCounts, entries+owners)
	f.itemInterval = time.Duration(owners) * time.Second / itemsPerSecond
	for i, o := range f.owners {
		o.nextItem = time.Now().Add(f.itemInterval * time.Duration(i) / time.Duration(owners))
	}
	return f
}

// exchange publishes the counts of instance i and gives it those of the others as of half the
// lag ago.
func (f *waveFleet) exchange(i int, now time.Time) {
	a, batch := f.instance(i)
	before := f.own[i]
	counts, waiting := a.Counts()
	next := publishedCounts{at: now, counts: counts, waiting: waiting, starts: a.Started()}
	if batch {
		next.waiting, next.batch = 0, counts.Sum()
	}
	f.own[i] = next
	sum := publishedCounts{at: now, counts: make(fescuebank.EndpointCounts)}
	if len(f.sums) > 0 {
		last := f.sums[len(f.sums)-1]
		sum.counts.Add(last.counts)
		sum.waiting, sum.batch, sum.starts = last.waiting, last.batch, last.starts
	}
	sum.counts.Subtract(before.counts)
	sum.counts.Add(next.counts)
	sum.waiting += next.waiting - before.waiting
	sum.batch += next.batch - before.batch
	sum.starts += next.starts - before.starts
	f.sums = append(f.sums, sum)
	for len(f.sums) > 1 && now.Sub(f.sums[1].at) >= f.lag/2 {
		f.sums = f.sums[1:]
	}
	known := f.sums[0]
	others := make(fescuebank.EndpointCounts)
	others.Add(known.counts)
	others.Subtract(before.counts)
	for tag, n := range others {
		others[tag] = max(0, n)
	}
	if batch {
		o := f.owners[i-len(f.entries)]
		o.others = max(0, known.batch-before.batch)
		if f.forecaster != nil {
			f.forecaster.Observe("s", float64(known.counts.Sum()-known.batch+known.waiting))
		}
	}
	a.SetPeerStarts(known.starts, f.lag)
	a.SetPeerCounts(others, max(0, known.waiting-before.waiting), max(0, known.batch-before.batch))
}

func (f *waveFleet) instance(i int) (a *allocator.Allocator, batch bool) {
	if i < len(f.entries) {
		return f.entries[i], false
	}
	return f.owners[i-len(f.entries)].allocator, true
}

// request sends one online request through a random entry.
func (f *waveFleet) request() {
	arrived := time.Now()
	a := f.entries[f.random.IntN(len(f.entries))]
	go func() {
		slot, err := a.Acquire(context.Background(), allocator.SlotRequest{
			Service: "s", Deadline: arrived.Add(waveObjective * 3 / 4), ReconsiderAt: arrived.Add(waveObjective / 5),
		})
		f.mu.Lock()
		defer f.mu.Unlock()
		f.result.requests++
		if err != nil {
			f.refuse()
			return
		}
		e := f.endpoints[slot.Endpoint.ID]
		r := &arrival{}
		r.start = func() {
			if time.Since(arrived)+firstEventTime <= waveObjective {
				f.result.inTime++
			} else {
				f.result.late++
			}
			time.AfterFunc(onlineHold, func() { f.end(e, r, slot) })
		}
		e.arrive(r)
	}()
}

func (f *waveFleet) refuse() {
	f.result.refused++
	for _, e := range f.endpoints {
		if e.running < e.slots {
			f.result.refusedFree++
			return
		}
	}
}

func (f *waveFleet) end(e *simulatedEndpoint, r *arrival, slot *allocator.Slot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.leave(r)
	slot.Release()
}

// runItems starts and preempts the items of one owner.
func (f *waveFleet) runItems(o *simulatedOwner) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	running := slices.DeleteFunc(slices.Clone(o.running), func(i *simulatedItem) bool { return i.cancelled })
	reserve := f.reserve(now)
	count := o.pacer.Cancel("s", now, pacer.Load{
		Excess: o.allocator.BatchExcess("s", reserve.Keep), Running: len(running), Cancelled: len(o.running) - len(running),
		Others: o.others, Lag: f.lag + 4*cancelTime,
	})
	for _, item := range running[:count] {
		f.result.preempted++
		item.cancelled = true
		if item.arrival.started {
			item.done.Stop()
			item.left -= now.Sub(item.startedAt)
		}
		time.AfterFunc(cancelTime, func() { f.endItem(o, item) })
	}
	for ; !o.nextItem.After(now); o.nextItem = o.nextItem.Add(f.itemInterval) {
		o.pending = append(o.pending, pendingItem{left: batchHold, arrived: o.nextItem})
	}
	for len(o.pending) > 0 {
		room := pacer.Room{Free: o.allocator.BatchRoom("s", reserve.Start), Instances: len(f.owners), Lag: f.lag}
		if !o.pacer.MayStart("s", now, room) {
			return
		}
		slot := o.allocator.AcquireBatch("s", "", reserve.Start)
		if slot == nil {
			return
		}
		o.pacer.RecordStart("s", now)
		item := &simulatedItem{slot: slot, left: o.pending[0].left, arrived: o.pending[0].arrived, arrival: &arrival{}}
		o.pending = o.pending[1:]
		o.running = append(o.running, item)
		item.arrival.start = func() {
			item.startedAt = time.Now()
			item.done = time.AfterFunc(item.left, func() { f.endItem(o, item) })
		}
		f.endpoints[slot.Endpoint.ID].arrive(item.arrival)
	}
}

// reserve returns what batch items leave free.
func (f *waveFleet) reserve(now time.Time) pacer.Reserve {
	if f.forecaster == nil {
		return pacer.NewReserve(0, pacer.Rise{}, false)
	}
	rise, known := pacer.ForecastRise(f.forecaster, "s", now, f.lag)
	return pacer.NewReserve(8*len(f.endpoints), rise, known)
}

func (f *waveFleet) endItem(o *simulatedOwner, item *simulatedItem) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o.running = slices.DeleteFunc(o.running, func(i *simulatedItem) bool { return i == item })
	if item.cancelled {
		o.pending = append(o.pending, pendingItem{left: item.left, arrived: item.arrived})
		slices.SortFunc(o.pending, func(a, b pendingItem) int { return a.arrived.Compare(b.arrived) })
	} else {
		f.result.itemsDone++
		f.result.itemTime += time.Since(item.arrived)
	}
	f.endpoints[item.slot.Endpoint.ID].leave(item.arrival)
	item.slot.Release()
}

// play sends a wave of online requests with the given mean rate, while the owners have items
// without end.
func (f *waveFleet) play(mean float64) waveResult {
	began := time.Now()
	instances := len(f.own)
	step := f.lag / 3 / time.Duration(instances)
	nextRequest := began
	for n := 0; time.Since(began) < f.length; n++ {
		now := time.Now()
		i := n % instances
		f.mu.Lock()
		f.exchange(i, now)
		f.mu.Unlock()
		if i >= len(f.entries) {
			f.runItems(f.owners[i-len(f.entries)])
		}
		for !nextRequest.After(now) {
			f.request()
			share := crestShare
			if nextRequest.Sub(began)%(troughTime+crestTime) < troughTime {
				share = troughShare
			}
			nextRequest = nextRequest.Add(time.Duration(f.random.ExpFloat64() / (mean * share) * float64(time.Second)))
		}
		time.Sleep(step)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.result
}

// TestWaveOverBatchWork plays the wave of a fleet of 165 entries and 30 owners with 78
// endpoints. At its crest the wave needs seven tenths of the slots, many of which batch items
// hold from the trough before. Nearly all requests must begin in time, and batch work must
// go on.
func TestWaveOverBatchWork(t *testing.T) {
	t.Parallel()
	const (
		maxRefused = 0.02
		minItems   = 150
	)
	for _, tt := range []struct {
		name string
		lag  time.Duration
		// minInTime is the least share of the requests that must begin in time.
		minInTime float64
	}{
		{"counts of 210 ms", 210 * time.Millisecond, 0.90},
		{"counts of 60 ms", 60 * time.Millisecond, 0.95},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				got := newWaveFleet(165, 30, 78, tt.lag).play(328)
				t.Logf("in time %.3f, late %.3f, refused %.3f (%.3f with a slot free), %d items done, %d preempted",
					got.share(got.inTime), got.share(got.late), got.share(got.refused), got.share(got.refusedFree), got.itemsDone, got.preempted)
				if inTime := got.share(got.inTime); inTime < tt.minInTime {
					t.Errorf("got %.3f of the requests in time, want at least %.2f", inTime, tt.minInTime)
				}
				if refused := got.share(got.refused); refused > maxRefused {
					t.Errorf("got %.3f of the requests refused, want at most %.2f", refused, maxRefused)
				}
				if got.itemsDone < minItems {
					t.Errorf("got %d batch items done, want at least %d", got.itemsDone, minItems)
				}
				time.Sleep(20 * time.Second) // Lets all requests end.
			})
		})
	}
}

// TestForecastOfCrests plays five periods of the wave over a fleet of 66 entries and 13 owners with 60
// endpoints. At its crests online requests need five sixths of the slots. With the load known in
// advance more of them must begin in time than without, and no fewer batch items may be done.
func TestForecastOfCrests(t *testing.T) {
	t.Parallel()
	const (
		lag = 140 * time.Millisecond
		// minItems is the least part of the items that are done without a forecast.
		minItems = 0.95
	)
	results := make(map[bool]waveResult)
	for _, forecast := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newWaveFleet(66, 13, 60, lag)
			f.length = 5 * (troughTime + crestTime)
			f.itemInterval = 13 * time.Second / 34
			if forecast {
				f.forecaster = forecaster.New(timekeeper.Timekeeper{})
			}
			got := f.play(300)
			results[forecast] = got
			t.Logf("forecast %v: in time %.3f, late %.3f, refused %.3f, %d items done in %v on average, %d preempted",
				forecast, got.share(got.inTime), got.share(got.late), got.share(got.refused), got.itemsDone,
				got.itemTime/time.Duration(max(1, got.itemsDone)), got.preempted)
			time.Sleep(20 * time.Second) // Lets all requests end.
		})
	}
	if got, want := results[true].share(results[true].inTime), results[false].share(results[false].inTime); got < want {
		t.Errorf("got %.3f of the requests in time with a forecast, want at least the %.3f without", got, want)
	}
	if got, want := results[true].itemsDone, int(minItems*float64(results[false].itemsDone)); got < want {
		t.Errorf("got %d items done with a forecast, want at least %d", got, want)
	}
}
