package auditor_test

import (
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/soak/auditor"
)

const expectedBody = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

const otherBody = "id: 1\ndata: c\n\nid: 2\ndata: d\n\n"

func TestViolations(t *testing.T) {
	at := time.Unix(1_000, 0)
	for _, tt := range []struct {
		name   string
		record func(a *auditor.Auditor)
		want   int
	}{
		{"nothing", func(*auditor.Auditor) {}, 0},
		{"complete response", func(a *auditor.Auditor) { a.RecordResponse("r", expectedBody, true) }, 0},
		{"truncated response", func(a *auditor.Auditor) { a.RecordResponse("r", expectedBody[:16], false) }, 0},
		{"truncated response that looks complete", func(a *auditor.Auditor) { a.RecordResponse("r", expectedBody[:16], true) }, 1},
		{"events of two versions", func(a *auditor.Auditor) { a.RecordResponse("r", expectedBody[:16]+otherBody[16:], true) }, 1},
		{"few streams continue", func(a *auditor.Auditor) { streams(a, 12, 5) }, 1},
		{"half of the streams continue", func(a *auditor.Auditor) { streams(a, 12, 6) }, 0},
		{"too few streams to judge", func(a *auditor.Auditor) { streams(a, 11, 0) }, 0},
		{"wrong text", func(a *auditor.Auditor) { a.RecordResponse("r", "id: 2\n", false) }, 1},
		{"ran twice", func(a *auditor.Auditor) {
			a.RecordNonRepeatable("r")
			a.RecordExecution("r", false, at)
			a.RecordExecution("r", false, at)
		}, 1},
		{"repeatable request ran twice", func(a *auditor.Auditor) {
			a.RecordExecution("r", false, at)
			a.RecordExecution("r", false, at)
		}, 0},
		{"refused and ran", func(a *auditor.Auditor) {
			a.RecordNonRepeatable("r")
			a.RecordRefusal("r", 503)
			a.RecordExecution("r", false, at)
		}, 1},
		{"refused", func(a *auditor.Auditor) { a.RecordNonRepeatable("r"); a.RecordRefusal("r", 503) }, 0},
		{"result that changes", func(a *auditor.Auditor) {
			a.RecordResult("j", 1, "x", "completed")
			a.RecordResult("j", 1, "y", "completed")
		}, 1},
		{"result read again", func(a *auditor.Auditor) {
			a.RecordResult("j", 1, "x", "completed")
			a.RecordResult("j", 1, "x", "completed")
		}, 0},
		{"within the quota", func(a *auditor.Auditor) { burst(a, at, 15) }, 0},
		{"over the quota", func(a *auditor.Auditor) { burst(a, at, 16) }, 1},
		{"violation detected elsewhere", func(a *auditor.Auditor) { a.RecordViolation("process ended") }, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := auditor.New([]string{expectedBody, otherBody}, fescuebank.Quota{Rate: 2, Burst: 5}, 5*time.Second, func(allowed float64) float64 { return allowed })
			tt.record(a)
			if got := a.Violations(); len(got) != tt.want {
				t.Errorf("got violations %q, want %d", got, tt.want)
			}
		})
	}
}

// streams records that streams begin, and that some of those that were broken continue.
func streams(a *auditor.Auditor, broken, continued int) {
	for i := range broken {
		a.RecordStream(false, true)
		a.RecordStream(true, i < continued)
	}
}

// burst records requests of the limited team within one window.
func burst(a *auditor.Auditor, at time.Time, count int) {
	for i := range count {
		a.RecordExecution(fescuebank.RequestID(fescuebank.NewRandomID("r")), true, at.Add(time.Duration(i)*10*time.Millisecond))
	}
}
