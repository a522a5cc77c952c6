// Package drawer draws the requests of a load run from a seed.
package drawer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"fescuebank"
)

// Traffic is what one team sends.
type Traffic struct {
	Team fescuebank.TeamID
	// Rate is the mean number of requests a second.
	Rate float64
	// Every and Size add a burst of Size requests at once; 0 adds none.
	Every time.Duration
	Size  int
	// Prefixes is the number of different prompt starts.
	Prefixes int
	// Prompt and Output are median lengths in tokens; Spread is the standard
	// deviation of their logarithm.
	Prompt int
	Output int
	Spread float64
}

// Request is one request that is due at a time after the start.
type Request struct {
	At     time.Duration
	Team   fescuebank.TeamID
	Prompt string
	Output int
}

// Drawer draws requests.
type Drawer struct {
	seed uint64
}

// New returns a drawer; the same seed gives the same requests.
func New(seed uint64) Drawer {
	return Drawer{seed: seed}
}

// charsPerToken is the length of a prompt's token.
const charsPerToken = 4

// Draw returns the requests of all teams within length, by time. Arrivals are
// Poisson, with bursts on top.
func (d Drawer) Draw(traffic []Traffic, length time.Duration) []Request {
	var all []Request
	for n, t := range traffic {
		random := rand.New(rand.NewPCG(d.seed, uint64(n)))
		at := time.Duration(0)
		for t.Rate > 0 {
			at += time.Duration(random.ExpFloat64() / t.Rate * float64(time.Second))
			if at >= length {
				break
			}
			all = append(all, draw(random, t, at))
		}
		if t.Every <= 0 {
			continue
		}
		for at := time.Duration(random.Int64N(int64(t.Every))); at < length; at += t.Every {
			for range t.Size {
				all = append(all, draw(random, t, at))
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Request) int { return int(a.At - b.At) })
	return all
}

func draw(random *rand.Rand, t Traffic, at time.Duration) Request {
	prompt := length(random, t.Prompt, t.Spread)
	prefix := fmt.Sprintf("%s asks in series %d. ", t.Team, random.IntN(max(1, t.Prefixes)))
	shared := strings.Repeat(prefix, 1+prompt*charsPerToken/2/len(prefix))
	own := fmt.Sprintf("Question %d: ", random.Uint64())
	rest := max(0, prompt*charsPerToken-len(shared)-len(own))
	return Request{At: at, Team: t.Team, Prompt: shared + own + strings.Repeat("when ", rest/5), Output: length(random, t.Output, t.Spread)}
}

// length draws from a log-normal distribution around a median.
func length(random *rand.Rand, median int, spread float64) int {
	const most = 8
	n := float64(median) * math.Exp(spread*random.NormFloat64())
	return max(1, min(int(n), most*median))
}
