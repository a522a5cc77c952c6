package tracker_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fescuebank"
	"fescuebank/internal/batch/tracker"
)

const (
	testExpiry = 3 * time.Second
	testAge    = time.Second
	chunkSize  = 5
	chunkCount = 4
)

// recordStore models the store: conditional writes of chunk records, and a count of
// the results that were written with them.
type recordStore struct {
	records  map[int]fescuebank.ChunkRecord
	versions map[int]fescuebank.StoreVersion
	results  map[fescuebank.ItemRef]int
	last     fescuebank.StoreVersion
}

func (s *recordStore) commit(job fescuebank.JobID, c tracker.Commit) (fescuebank.StoreVersion, bool) {
	if s.versions[c.Chunk] != c.Version {
		return 0, false
	}
	s.last++
	s.records[c.Chunk], s.versions[c.Chunk] = c.Record, s.last
	for _, r := range c.Results {
		s.results[fescuebank.ItemRef{Job: job, Chunk: c.Chunk, Item: r.Item}]++
	}
	return s.last, true
}

// pulledItem is an item that was handed out to a puller.
type pulledItem struct {
	item   fescuebank.PulledItem
	puller fescuebank.InstanceID
}

// jobMachine drives up to two concurrent owners of one job over one store.
type jobMachine struct {
	now    time.Time
	job    *fescuebank.Job
	store  recordStore
	owners []*tracker.Tracker
	pulled []pulledItem
	// writing are the commits in progress.
	writing []pendingCommit
}

type pendingCommit struct {
	owner  *tracker.Tracker
	commit tracker.Commit
}

func newJobMachine() *jobMachine {
	m := &jobMachine{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		job: &fescuebank.Job{ID: "batch-00-test", Team: "team", Chunks: chunkCount},
		store: recordStore{
			records: map[int]fescuebank.ChunkRecord{}, versions: map[int]fescuebank.StoreVersion{}, results: map[fescuebank.ItemRef]int{},
		},
	}
	m.addOwner()
	return m
}

func lines(chunk int) [][]byte {
	var list [][]byte
	for n := range chunkSize {
		list = append(list, fmt.Appendf(nil, `{"custom_id":"%d-%d","url":"/v1/completions","body":{"model":"m"}}`, chunk, n))
	}
	return list
}

// addOwner adds an owner that has read the records. The former owner continues, as if
// it had not noticed its loss of ownership.
func (m *jobMachine) addOwner() {
	records := map[int]fescuebank.ChunkRecord{}
	versions := map[int]fescuebank.StoreVersion{}
	for n, r := range m.store.records {
		records[n], versions[n] = r, m.store.versions[n]
	}
	tr := tracker.New(m.job, records, versions)
	m.owners = append(m.owners, tr)
	if len(m.owners) > 2 {
		m.owners = m.owners[1:]
	}
}

func (m *jobMachine) owner(t *rapid.T) *tracker.Tracker {
	return m.owners[rapid.IntRange(0, len(m.owners)-1).Draw(t, "owner")]
}

func (m *jobMachine) pull(t *rapid.T) {
	tr := m.owner(t)
	if n, ok := tr.NextChunk(); ok {
		tr.LoadChunk(n, lines(n))
	}
	puller := fescuebank.InstanceID(fmt.Sprint("puller-", rapid.IntRange(0, 2).Draw(t, "puller")))
	for _, item := range tr.TakeItems(m.now, puller, []fescuebank.ModelName{"m"}, rapid.IntRange(1, 6).Draw(t, "limit"), testExpiry) {
		m.pulled = append(m.pulled, pulledItem{item: item, puller: puller})
	}
}

func (m *jobMachine) report(t *rapid.T) {
	if len(m.pulled) == 0 {
		return
	}
	p := m.pulled[rapid.IntRange(0, len(m.pulled)-1).Draw(t, "item")]
	kind := rapid.SampledFrom([]fescuebank.ReportKind{
		fescuebank.ItemDone, fescuebank.ItemDone, fescuebank.ItemDone, fescuebank.ItemReturned, fescuebank.ItemLost, fescuebank.ItemFailed, fescuebank.ItemRunning,
	}).Draw(t, "kind")
	r := fescuebank.ItemReport{Ref: p.item.Ref, Attempt: p.item.Attempt, Kind: kind, Outcome: fescuebank.ItemOutcome{CustomID: "x", Status: 200, Body: []byte("{}")}}
	// The item stays in pulled, so that reports are repeated and late.
	m.owner(t).Report(m.now, p.puller, r, testExpiry)
}

func (m *jobMachine) startCommit(t *rapid.T) {
	tr := m.owner(t)
	for _, c := range tr.DueCommits(m.now, testAge) {
		m.writing = append(m.writing, pendingCommit{owner: tr, commit: c})
	}
}

func (m *jobMachine) endCommit(t *rapid.T) {
	if len(m.writing) == 0 {
		return
	}
	n := rapid.IntRange(0, len(m.writing)-1).Draw(t, "commit")
	p := m.writing[n]
	m.writing = append(m.writing[:n:n], m.writing[n+1:]...)
	if rapid.IntRange(0, 4).Draw(t, "fails") == 0 {
		p.owner.RevertCommit(p.commit, m.now)
		return
	}
	version, ok := m.store.commit(m.job.ID, p.commit)
	if !ok {
		m.replaceOwner(p.owner)
		return
	}
	p.owner.ApplyCommit(p.commit, p.commit.Record, version)
}

// replaceOwner replaces an owner whose write conflicted with another owner's by one
// that has read the records again.
func (m *jobMachine) replaceOwner(tr *tracker.Tracker) {
	for i, o := range m.owners {
		if o == tr {
			m.owners = append(m.owners[:i:i], m.owners[i+1:]...)
			m.addOwner()
			return
		}
	}
}

func (m *jobMachine) check(t *rapid.T) {
	for ref, n := range m.store.results {
		if n != 1 {
			t.Fatalf("item %v: got %d results, want 1", ref, n)
		}
		record := m.store.records[ref.Chunk]
		if !record.IsDone(ref.Item) {
			t.Fatalf("item %v: got a result that its record doesn't mark as done, want it marked", ref)
		}
	}
}

// finish runs a single new owner until the job is done.
func (m *jobMachine) finish(t *rapid.T) {
	const maxRounds = 200
	m.owners = nil
	m.addOwner()
	tr := m.owners[0]
	for range maxRounds {
		m.now = m.now.Add(testAge)
		if n, ok := tr.NextChunk(); ok {
			tr.LoadChunk(n, lines(n))
		}
		for _, item := range tr.TakeItems(m.now, "last", []fescuebank.ModelName{"m"}, 100, testExpiry) {
			tr.Report(m.now, "last", fescuebank.ItemReport{Ref: item.Ref, Attempt: item.Attempt, Kind: fescuebank.ItemDone}, testExpiry)
		}
		for _, c := range tr.DueCommits(m.now.Add(2*testAge), testAge) {
			version, ok := m.store.commit(m.job.ID, c)
			if !ok {
				t.Fatal("got a conflict without another owner, want none")
			}
			tr.ApplyCommit(c, c.Record, version)
		}
		if tr.Done() {
			break
		}
	}
	if got, want := len(m.store.results), chunkCount*chunkSize; got != want {
		t.Fatalf("got %d items with a result, want %d", got, want)
	}
}

// TestEachItemOnce checks that each item gets exactly one result with two concurrent
// owners, late reports and failing commits.
func TestEachItemOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newJobMachine()
		t.Repeat(map[string]func(*rapid.T){
			"pull":        m.pull,
			"report":      m.report,
			"reportMore":  m.report,
			"startCommit": m.startCommit,
			"endCommit":   m.endCommit,
			"adopt":       func(*rapid.T) { m.addOwner() },
			"expire":      func(t *rapid.T) { m.owner(t).Expire(m.now) },
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"": m.check,
		})
		m.finish(t)
		m.check(t)
	})
}

// await returns an item once it is handed out, or false if it isn't within a time. The other
// items are returned.
func await(m *jobMachine, number int, within time.Duration) (fescuebank.PulledItem, bool) {
	const step = 200 * time.Millisecond
	tr := m.owners[0]
	for end := m.now.Add(within); !m.now.After(end); m.now = m.now.Add(step) {
		tr.Expire(m.now)
		var found *fescuebank.PulledItem
		for _, item := range tr.TakeItems(m.now, "p", []fescuebank.ModelName{"m"}, 100, testExpiry) {
			if item.Ref.Item == number {
				found = &item
				continue
			}
			tr.Report(m.now, "p", fescuebank.ItemReport{Ref: item.Ref, Attempt: item.Attempt, Kind: fescuebank.ItemReturned}, testExpiry)
		}
		if found != nil {
			return *found, true
		}
	}
	return fescuebank.PulledItem{}, false
}

// TestItemIsOwedAfterLosses checks that an item under which endpoints crash, or whose pullers
// fall silent, has no result and is soon handed out again, however often that happens.
func TestItemIsOwedAfterLosses(t *testing.T) {
	const (
		losses        = 40
		placementTime = 5 * time.Second
	)
	m := newJobMachine()
	tr := m.owners[0]
	tr.LoadChunk(0, lines(0))
	for n := range losses {
		item, ok := await(m, 0, placementTime)
		if !ok {
			t.Fatalf("after %d losses: got no item within %v, want it", n, placementTime)
		}
		if n%2 == 0 {
			tr.Report(m.now, "p", fescuebank.ItemReport{Ref: item.Ref, Attempt: item.Attempt, Kind: fescuebank.ItemLost}, testExpiry)
			continue
		}
		m.now = m.now.Add(testExpiry)
		tr.Expire(m.now)
	}
	if got := tr.DueCommits(m.now.Add(2*testAge), testAge); len(got) != 0 {
		t.Fatalf("got commits %v, want none while the item is owed", got)
	}
	item, ok := await(m, 0, placementTime)
	if !ok {
		t.Fatalf("got no item within %v, want it", placementTime)
	}
	tr.Report(m.now, "p", fescuebank.ItemReport{Ref: item.Ref, Attempt: item.Attempt, Kind: fescuebank.ItemDone}, testExpiry)
	commits := tr.DueCommits(m.now.Add(2*testAge), testAge)
	if len(commits) != 1 || len(commits[0].Results) != 1 || commits[0].Results[0].Outcome.Failed {
		t.Errorf("got commits %v, want one with one result that has not failed", commits)
	}
}

// TestItemFailsAfterMaxFailures checks that an item ends once endpoints have responded
// MaxFailures times that it failed; losses in between don't count.
func TestItemFailsAfterMaxFailures(t *testing.T) {
	m := newJobMachine()
	tr := m.owners[0]
	tr.LoadChunk(0, lines(0))
	for n := range 2 * tracker.MaxFailures {
		kind := fescuebank.ItemLost
		if n%2 == 1 {
			kind = fescuebank.ItemFailed
		}
		if commits := tr.DueCommits(m.now.Add(2*testAge), testAge); len(commits) != 0 {
			t.Fatalf("after %d failures: got commits %v, want none", n/2, commits)
		}
		item, ok := await(m, 0, time.Minute)
		if !ok {
			t.Fatalf("after %d failures: got no item, want it", n/2)
		}
		tr.Report(m.now, "p", fescuebank.ItemReport{Ref: item.Ref, Attempt: item.Attempt, Kind: kind}, testExpiry)
	}
	commits := tr.DueCommits(m.now.Add(2*testAge), testAge)
	if len(commits) != 1 || len(commits[0].Results) != 1 {
		t.Fatalf("got commits %v, want one with one result", commits)
	}
	if got := commits[0].Results[0]; got.Item != 0 || !got.Outcome.Failed {
		t.Errorf("got result %+v, want item 0 failed", got)
	}
}
