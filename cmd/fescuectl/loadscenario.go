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
	// Lengths of prompts and outputs are log-normal, with these medians and sigma as
	// the standard deviation of the logarithm.
	medianPromptTokens = 160
	medianOutputTokens = 48
	sigma              = 0.4
	// rateMargin is the ratio of a team's rate limit to its mean request rate.
	rateMargin = 1.3
	// minRate is the lowest rate limit of a team. It lets a team submit its jobs even
	// if there is no online load.
	minRate = 2
	// burstSeconds is a team's burst limit, in seconds of its rate.
	burstSeconds = 2
	// overloadFactor is the multiple of its usual load that the greedy team sends.
	overloadFactor = 5
	// greedyTeam is the index of the team that exceeds its rate in the greedy variant
	// and sends nothing in the absent variant.
	greedyTeam = 2
	// warmUpTime is how long an in-process deployment runs before the measurement.
	warmUpTime = 3 * time.Second
	// batchOutputTokens is the output length of a batch item in tokens.
	batchOutputTokens = 64
)

// scenario is the size of a deployment.
type scenario struct {
	zones     []fescuebank.Zone
	instances int
	engines   int
	model     fescuebank.ModelName
}

// scenarios are the sizes of the two current deployments.
var scenarios = map[string]scenario{
	"lone-star": {zones: []fescuebank.Zone{"tx-austin", "tx-waco", "tx-sanmarcos", "tx-temple"}, instances: 8, engines: 20, model: "almanac-llm"},
	"celeste":   {zones: []fescuebank.Zone{"plata-a", "plata-b", "plata-c"}, instances: 8, engines: 10, model: "pesca-lm"},
}

// teamLoadShares are the eight teams' shares of the online load, unequal on purpose:
// a few teams send most of it.
var teamLoadShares = []float64{0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05}

// variant selects the routing policy and the load of a run.
type variant struct {
	name   string
	policy fescuebank.Policy
	batch  bool
	// greedyFactor multiplies the load of the greedy team.
	greedyFactor float64
}

func parseVariant(text string) (variant, error) {
	v := variant{name: text, policy: fescuebank.PolicyLeastExpected, greedyFactor: 1}
	for _, part := range strings.Split(text, "+") {
		switch part {
		case "batch":
			v.batch = true
		case "greedy":
			v.greedyFactor = overloadFactor
		case "absent":
			v.greedyFactor = 0
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

// engineConfig returns the configuration of the emulated engines.
func engineConfig() emulator.Config {
	c := emulator.Config{Slots: 16, StepBase: 16 * time.Millisecond, StepPerRequest: 100 * time.Microsecond, LoseEventEvery: 50}
	c.Defaults()
	return c
}

// engineCapacity returns the number of tokens per second that one engine generates
// with all slots in use.
func engineCapacity(c emulator.Config) float64 {
	step := c.StepBase + time.Duration(c.Slots)*c.StepPerRequest
	return float64(c.Slots) / step.Seconds()
}

// trafficTeams returns the teams of the traffic.
func trafficTeams(traffic []generator.Traffic) []fescuebank.TeamID {
	var teams []fescuebank.TeamID
	for _, t := range traffic {
		teams = append(teams, t.Team)
	}
	return teams
}

// traffic divides the online load among the teams. total is the capacity of all
// engines in tokens per second.
func (l *loadCommand) traffic(total float64, v variant) ([]generator.Traffic, []fescuebank.Team) {
	const meanOverMedian = 1.083 // exp(sigma²/2)
	requests := total * l.OnlineShare / (medianOutputTokens * meanOverMedian)
	var traffic []generator.Traffic
	var teams []fescuebank.Team
	for n, share := range teamLoadShares {
		id := fescuebank.TeamID(fmt.Sprintf("team-%d", n+1))
		rate := requests * share
		sentRate := rate
		if n == greedyTeam {
			sentRate *= v.greedyFactor
		}
		// steadyShare of the requests arrive at a steady rate, the rest in bursts.
		const steadyShare = 0.9
		traffic = append(traffic, generator.Traffic{
			Team: id, RequestsPerSecond: sentRate * steadyShare,
			BurstInterval: 2 * time.Second, BurstSize: int(sentRate * 2 * (1 - steadyShare)),
			Prefixes: 4, PromptTokens: medianPromptTokens, OutputTokens: medianOutputTokens, Sigma: sigma,
		})
		teams = append(teams, fescuebank.Team{
			ID: id, Weight: 1, Rate: fescuebank.RequestRate(max(minRate, rate*rateMargin)),
			Burst: fescuebank.Requests(max(8, rate*burstSeconds)),
		})
	}
	return traffic, teams
}
