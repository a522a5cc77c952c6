package tracer_test

import (
	"testing"
	"time"

	"fescuebank/internal/soak/tracer"
)

var start = time.Unix(1_000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestCut(t *testing.T) {
	for _, tt := range []struct {
		name   string
		record func(tr *tracer.Tracer)
		atMs   int
		want   bool
	}{
		{"executed", func(tr *tracer.Tracer) { _ = tr.RecordReceived("r", "e", false, after(5)) }, 100, true},
		{"not read", func(*tracer.Tracer) {}, 100, false},
		{"read and not executed", func(*tracer.Tracer) {}, 1000, true},
		{"no end after the timeout", func(tr *tracer.Tracer) { _ = tr.RecordReceived("r", "e", true, after(5)) }, 5000, true},
		{"no end at a paused instance", func(tr *tracer.Tracer) { tr.Disturb("i", after(5))(after(3000)) }, 5000, false},
		{"response damaged", func(tr *tracer.Tracer) { _ = tr.RecordReceived("r", "e", true, after(5)) }, 100, false},
		{"timed out", func(tr *tracer.Tracer) { _ = tr.RecordReceived("r", "e", false, after(5)) }, 4000, false},
		{"instance killed", func(tr *tracer.Tracer) {
			_ = tr.RecordReceived("r", "e", false, after(5))
			tr.Disturb("i", after(50))
		}, 100, false},
		{"endpoint reset earlier", func(tr *tracer.Tracer) {
			tr.Disturb("e", after(-50))(after(-10))
			_ = tr.RecordReceived("r", "e", false, after(5))
		}, 100, true},
		{"endpoint reset", func(tr *tracer.Tracer) {
			_ = tr.RecordReceived("r", "e", false, after(5))
			tr.Disturb("e", after(50))(after(60))
		}, 100, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tr := tracer.New(4 * time.Second)
			tr.RecordSent("r", "i", start)
			tt.record(tr)
			if err := tr.RecordCut("r", after(tt.atMs)); (err != nil) != tt.want {
				t.Errorf("got %v, want an error: %v", err, tt.want)
			}
		})
	}
}

func TestRequestAtLeavingEndpoint(t *testing.T) {
	for _, tt := range []struct {
		name     string
		instance string
		sentMs   int
		excuse   func(tr *tracer.Tracer)
		want     bool
	}{
		{"late", "i", 2001, func(*tracer.Tracer) {}, true},
		{"in time", "i", 2000, func(*tracer.Tracer) {}, false},
		{"late from another instance", "j", 2001, func(*tracer.Tracer) {}, false},
		{"late after a pause", "i", 2001, func(tr *tracer.Tracer) { tr.Disturb("i", after(100))(after(300)) }, false},
		{"late after a restart", "i", 2001, func(tr *tracer.Tracer) { tr.RecordRestart("i") }, false},
		{"late after a restart of another instance", "i", 2001, func(tr *tracer.Tracer) { tr.RecordRestart("j") }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tr := tracer.New(4 * time.Second)
			tr.RecordLeaving("i", "e", start)
			tr.RecordLeaving("i", "e", after(1500))
			tt.excuse(tr)
			tr.RecordSent("r", tt.instance, after(tt.sentMs))
			if err := tr.RecordReceived("r", "e", false, after(2500)); (err != nil) != tt.want {
				t.Errorf("got %v, want an error: %v", err, tt.want)
			}
		})
	}
}
