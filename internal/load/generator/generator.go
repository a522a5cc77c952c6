// Package generator generates the requests of a load test from a seed.
package generator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"fescuebank"
)

// Traffic describes the requests that one team sends.
type Traffic struct {
	Team fescuebank.TeamID
	// RequestsPerSecond is the mean rate.
	RequestsPerSecond float64
	// A burst of BurstSize requests is sent at once every BurstInterval; an
	// interval of 0 sends none.
	BurstInterval time.Duration
	BurstSize     int
	// Prefixes is the number of distinct prompt prefixes.
	Prefixes int
	// PromptTokens and OutputTokens are the medians of log-normal distributions;
	// Sigma is the standard deviation of the logarithm.
	PromptTokens int
	OutputTokens int
	Sigma        float64
}

// Request is one request, due at Offset after the start of the run.
type Request struct {
	Offset    time.Duration
	Team      fescuebank.TeamID
	Prompt    string
	MaxTokens int
}

// Generator generates requests.
type Generator struct {
	seed uint64
}

// New returns a generator; the same seed yields the same requests.
func New(seed uint64) Generator {
	return Generator{seed: seed}
}

// charsPerToken is the number of characters of a prompt that count as one token.
const charsPerToken = 4

// Generate returns the requests of all teams within length, ordered by time.
// Arrivals follow a Poisson process, with periodic bursts added.
func (g Generator) Generate(traffic []Traffic, length time.Duration) []Request {
	var all []Request
	for n, t := range traffic {
		random := rand.New(rand.NewPCG(g.seed, uint64(n)))
		at := time.Duration(0)
		for t.RequestsPerSecond > 0 {
			at += time.Duration(random.ExpFloat64() / t.RequestsPerSecond * float64(time.Second))
			if at >= length {
				break
			}
			all = append(all, newRequest(random, t, at))
		}
		if t.BurstInterval <= 0 {
			continue
		}
		for at := time.Duration(random.Int64N(int64(t.BurstInterval))); at < length; at += t.BurstInterval {
			for range t.BurstSize {
				all = append(all, newRequest(random, t, at))
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Request) int { return int(a.Offset - b.Offset) })
	return all
}

func newRequest(random *rand.Rand, t Traffic, at time.Duration) Request {
	prompt := logNormalLength(random, t.PromptTokens, t.Sigma)
	prefix := fmt.Sprintf("%s asks in series %d. ", t.Team, random.IntN(max(1, t.Prefixes)))
	shared := strings.Repeat(prefix, 1+prompt*charsPerToken/2/len(prefix))
	own := fmt.Sprintf("Question %d: ", random.Uint64())
	rest := max(0, prompt*charsPerToken-len(shared)-len(own))
	return Request{Offset: at, Team: t.Team, Prompt: shared + own + strings.Repeat("when ", rest/5), MaxTokens: logNormalLength(random, t.OutputTokens, t.Sigma)}
}

// logNormalLength draws a length from a log-normal distribution with the given median.
// The length is at least 1 and at most maxMultiple medians.
func logNormalLength(random *rand.Rand, median int, sigma float64) int {
	const maxMultiple = 8
	n := float64(median) * math.Exp(sigma*random.NormFloat64())
	return max(1, min(int(n), maxMultiple*median))
}
