package pacer

import (
	"math"
	"testing"
	"time"

	"fescuebank"
)

// stepLoad is a load that rises from 80 to 395 slots at a time.
type stepLoad struct {
	riseAt time.Time
	known  bool
}

func (l stepLoad) Forecast(_ fescuebank.ServiceName, at time.Time) (float64, bool) {
	if at.Before(l.riseAt) {
		return 80, l.known
	}
	return 395, l.known
}

// TestReserveBeforeARise checks what batch items leave free at 480 slots before a crest that needs 315
// more: the least share in the trough, the room of the crest in time, and as for any load if the
// crest isn't known in advance.
func TestReserveBeforeARise(t *testing.T) {
	const (
		slots    = 480
		clearing = 200 * time.Millisecond
		rise     = 315.0 / slots
	)
	now := time.Unix(100, 0)
	for _, tt := range []struct {
		name  string
		ahead time.Duration
		known bool
		want  Reserve
	}{
		{"trough", 2 * time.Second, true, Reserve{Start: MinReservedShare, Keep: MinReservedShare}},
		{"too short a run", 400 * time.Millisecond, true, Reserve{Start: MinReservedShare + rise, Keep: MinReservedShare}},
		{"crest begins", 150 * time.Millisecond, true, Reserve{Start: MinReservedShare + rise, Keep: MinReservedShare + rise}},
		{"crest has begun", -time.Second, true, Reserve{Start: MinReservedShare, Keep: MinReservedShare}},
		{"not known", 150 * time.Millisecond, false, Reserve{Start: StartReservedShare, Keep: MinReservedShare}},
	} {
		r, known := ForecastRise(stepLoad{now.Add(tt.ahead), tt.known}, "s", now, clearing)
		got := NewReserve(slots, r, known)
		if math.Abs(got.Start-tt.want.Start) > 1e-9 || math.Abs(got.Keep-tt.want.Keep) > 1e-9 {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}
