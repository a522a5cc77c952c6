// Package weightserver emulates the weight store, a rate-limited server of model
// weights.
package weightserver

import (
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"fescuebank"
)

// WeightServer serves model weights at a limited rate.
type WeightServer struct {
	clock   fescuebank.Clock
	limiter *rate.Limiter
	// transfer is the duration of one fetch.
	transfer time.Duration
	served   atomic.Int64
	refused  atomic.Int64
}

// New returns a store that admits fetchesPerSecond fetches, each of which takes
// transfer.
func New(fetchesPerSecond float64, transfer time.Duration, clock fescuebank.Clock) *WeightServer {
	return &WeightServer{clock: clock, limiter: rate.NewLimiter(rate.Limit(fetchesPerSecond), 1), transfer: transfer}
}

// FetchCounts returns how many fetches were served and refused.
func (s *WeightServer) FetchCounts() (served, refused int64) {
	return s.served.Load(), s.refused.Load()
}

// Handler serves GET /weights/MODEL/VERSION.
func (s *WeightServer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}", func(w http.ResponseWriter, r *http.Request) {
		if !s.limiter.AllowN(s.clock.Now(), 1) {
			s.refused.Add(1)
			w.Header().Set("Retry-After", "1")
			http.Error(w, "rate", http.StatusTooManyRequests)
			return
		}
		if fescuebank.Sleep(r.Context(), s.clock, s.transfer) != nil {
			return
		}
		s.served.Add(1)
		_, _ = w.Write([]byte("weights of " + r.PathValue("model") + " " + r.PathValue("version")))
	})
	return mux
}
