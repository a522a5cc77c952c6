package meter_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fescuebank/internal/operate/meter"
)

func TestCountsAreServed(t *testing.T) {
	m := meter.New()
	m.Count("requests", "route", "answered")
	m.Count("requests", "route", "answered")
	m.Time("total", 40*time.Millisecond)
	m.Gauge("inFlight", func() any { return 3 })
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{`requests {"route,answered":2}`, `"count":1,"p50Ms":40`, "inFlight 3"} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("got %s, want %s in it", w.Body, want)
		}
	}
}

func TestLabelsAreBounded(t *testing.T) {
	m := meter.New()
	for i := range 10_000 {
		m.Count("requests", fmt.Sprint(i))
	}
	got := m.Snapshot()["requests"].(map[string]int64)
	if len(got) > 257 || got["other"] < 9_000 {
		t.Errorf("got %d labels and %d others, want at most 257", len(got), got["other"])
	}
}
