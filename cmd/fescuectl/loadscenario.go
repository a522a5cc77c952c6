package main

import (
	"fmt"
	"strings"
	"time"

	"fescuebank"
	"fescuebank/internal/load/generator"
	"fescuebank/internal/standin/emulator"
)

const (
	medianPrompt = 160
	medianOutput = 48
	spread       = 0.4
	// headroom is a team's rate over the mean of what it sends.
	headroom = 1.3
	// minRate lets a team submit its jobs in a run without online load.
	minRate = 2
	// burstSeconds is a team's burst in seconds of its rate.
	burstSeconds = 2
	greedyFactor = 5
	// greedyTeam sends too much in the greedy variant.
	greedyTeam = 2
	settleTime = 3 * time.Second
	// batchOutput is the answer's length of a batch item in tokens.
	batchOutput = 64
)

// scenario is the size of a deployment.
type scenario struct {
	zones     []fescuebank.Zone
	instances int
	engines   int
	model     fescuebank.ModelName
}

// scenarios are today's sizes.
var scenarios = map[string]scenario{
	"lone-star": {zones: []fescuebank.Zone{"tx-austin", "tx-waco", "tx-sanmarcos", "tx-temple"}, instances: 8, engines: 20, model: "almanac-llm"},
	"celeste":   {zones: []fescuebank.Zone{"plata-a", "plata-b", "plata-c"}, instances: 8, engines: 10, model: "pesca-lm"},
}

// teamShares are the eight teams' parts of the online load: a few are large.
var teamShares = []float64{0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05}

// variant is one way to run a scenario.
type variant struct {
	name   string
	policy fescuebank.Policy
	batch  bool
	greedy float64
}

func parseVariant(text string) (variant, error) {
	v := variant{name: text, policy: fescuebank.PolicyLeastExpected, greedy: 1}
	for _, part := range strings.Split(text, "+") {
		switch part {
		case "batch":
			v.batch = true
		case "greedy":
			v.greedy = greedyFactor
		case "absent":
			v.greedy = 0
		default:
			found := false
			for _, p := range fescuebank.Policies {
				if string(p) == part {
					v.policy, found = p, true
				}
			}
			if !found {
				return v, fmt.Errorf("unknown part %q of a variant", part)
			}
		}
	}
	return v, nil
}

// engineConfig describes the emulated engines.
func engineConfig() emulator.Config {
	c := emulator.Config{Slots: 16, StepBase: 16 * time.Millisecond, StepPerRequest: 100 * time.Microsecond, LoseEventEvery: 50}
	c.Defaults()
	return c
}

// capacity is the number of tokens that one engine generates a second when full.
func capacity(c emulator.Config) float64 {
	step := c.StepBase + time.Duration(c.Slots)*c.StepPerRequest
	return float64(c.Slots) / step.Seconds()
}

// senders are the teams that send something.
func senders(traffic []generator.Traffic) []fescuebank.TeamID {
	var teams []fescuebank.TeamID
	for _, t := range traffic {
		teams = append(teams, t.Team)
	}
	return teams
}

// traffic divides the online load over the teams.
func (l *loadCommand) traffic(total float64, v variant) ([]generator.Traffic, []fescuebank.Team) {
	const meanOverMedian = 1.083 // exp(spread²/2)
	requests := total * l.Share / (medianOutput * meanOverMedian)
	var traffic []generator.Traffic
	var teams []fescuebank.Team
	for n, share := range teamShares {
		id := fescuebank.TeamID(fmt.Sprintf("team-%d", n+1))
		rate := requests * share
		sent := rate
		if n == greedyTeam {
			sent *= v.greedy
		}
		const calm = 0.9
		traffic = append(traffic, generator.Traffic{
			Team: id, Rate: sent * calm, BurstInterval: 2 * time.Second, BurstSize: int(sent * 2 * (1 - calm)),
			Prefixes: 4, PromptTokens: medianPrompt, OutputTokens: medianOutput, Sigma: spread,
		})
		teams = append(teams, fescuebank.Team{
			ID: id, Weight: 1, Rate: fescuebank.RequestRate(max(minRate, rate*headroom)),
			Burst: fescuebank.Requests(max(8, rate*burstSeconds)),
		})
	}
	return traffic, teams
}
