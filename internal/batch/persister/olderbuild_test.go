package persister

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"fescuebank"
	"fescuebank/internal/standin/memorystorer"
	"fescuebank/internal/timing/timekeeper"
)

// olderPartBytes is the length of the parts that older builds wrote.
const olderPartBytes = 700 << 10

// largeJob returns a job whose encoding takes several parts.
func largeJob() *fescuebank.RoutedJob {
	body := make([]byte, 2<<20)
	_, _ = rand.NewChaCha8([32]byte{}).Read(body) // It never fails.
	return &fescuebank.RoutedJob{ID: "job", Team: "team", Items: []fescuebank.RoutedItem{{ID: "a", Target: "/", Body: body}}}
}

// putAsOlderBuild stores a value in parts under plain keys, as older builds did.
func putAsOlderBuild(t *testing.T, store fescuebank.ObjectStore, key string, value any) {
	t.Helper()
	encoded, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	var pieces [][]byte
	for rest := encoder.EncodeAll(encoded, nil); len(rest) > 0; {
		n := min(len(rest), olderPartBytes)
		pieces, rest = append(pieces, rest[:n]), rest[n:]
	}
	for i, piece := range pieces {
		o, err := json.Marshal(map[string]any{"parts": len(pieces), "data": piece})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Put(t.Context(), fmt.Sprintf("%s.%d", key, i), o, fescuebank.Absent); err != nil {
			t.Fatal(err)
		}
	}
}

// TestFormOfOlderBuildsIsRead guards against jobs and results that are lost by an upgrade.
func TestFormOfOlderBuildsIsRead(t *testing.T) {
	store := &memorystorer.MemoryStorer{}
	p, err := New(store, timekeeper.Timekeeper{})
	if err != nil {
		t.Fatal(err)
	}
	putAsOlderBuild(t, store, "batchjobs/job", largeJob())
	putAsOlderBuild(t, store, "batchresults/job", map[int]any{1: 7, 2: []map[int]any{{1: "a", 3: []byte("text")}}})
	job, _, err := p.Job(t.Context(), "team", "job")
	if err != nil || !job.IsSameWork(largeJob()) {
		t.Errorf("got job %.60v, error %v, want the stored one", job, err)
	}
	segment, err := p.Segment(t.Context(), "job", 0)
	if err != nil || segment.Epoch != 7 || len(segment.Results) != 1 || string(segment.Results[0].Output) != "text" {
		t.Errorf("got segment %+v, error %v, want the stored one", segment, err)
	}
}

// TestOlderBuildsReadTheForm guards against jobs that the older instances of a fleet can't load while it is upgraded.
func TestOlderBuildsReadTheForm(t *testing.T) {
	store := &memorystorer.MemoryStorer{}
	p, err := New(store, timekeeper.Timekeeper{})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := p.PutJob(t.Context(), largeJob()); err != nil {
		t.Fatal(err)
	}
	var encoded []byte
	for i, parts := 0, 1; i < parts; i++ {
		o, err := store.Get(t.Context(), fmt.Sprintf("batchjobs/job.%d", i))
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(o.Value[:40]), "set") {
			t.Errorf("part %d: got a set, want none without a conflict", i)
		}
		var piece struct {
			Parts int    `json:"parts"`
			Data  []byte `json:"data"`
		}
		if err := json.Unmarshal(o.Value, &piece); err != nil {
			t.Fatal(err)
		}
		parts, encoded = piece.Parts, append(encoded, piece.Data...)
	}
	decoder, err := zstd.NewReader(bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	defer decoder.Close()
	var job fescuebank.RoutedJob
	if err := cbor.NewDecoder(decoder).Decode(&job); err != nil || !job.IsSameWork(largeJob()) {
		t.Errorf("got job %.60v, error %v, want the stored one", job, err)
	}
}
