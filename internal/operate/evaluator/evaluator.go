// Package evaluator computes the burn rates of error budgets from service level counts.
package evaluator

import (
	"cmp"
	"slices"
	"time"

	"fescuebank"
)

// Evaluator evaluates service level counts against objectives.
type Evaluator struct{}

// Objective is the name of a service level objective.
type Objective string

// The objectives.
const (
	FirstToken  Objective = "firstToken"
	Complete    Objective = "complete"
	Admitted    Objective = "admitted"
	BatchOnTime Objective = "batchOnTime"
)

// objectives lists all objectives.
var objectives = []Objective{FirstToken, Complete, Admitted, BatchOnTime}

// Alarm is the urgency of a burn rate.
type Alarm string

// The alarms. Each requires both a long and a short window to reach a burn rate: the
// long one prevents alarms on short spikes, and the short one ends an alarm soon after
// the errors have stopped.
const (
	NoAlarm Alarm = ""
	Ticket  Alarm = "ticket"
	Page    Alarm = "page"
)

// The burn rates that raise alarms. The error budget of 3 days is used up in 5 hours at
// fastPageBurn, in 12 hours at slowPageBurn, and in 3 days at ticketBurn.
const (
	fastPageBurn = 14.4
	slowPageBurn = 6.0
	ticketBurn   = 1.0
)

// Line is the evaluation of one objective for one team.
type Line struct {
	Team      fescuebank.TeamID `json:"team"`
	Objective Objective         `json:"objective"`
	// Target is the required share of good events.
	Target  float64  `json:"target"`
	Windows []Window `json:"windows"`
	// BudgetLeft is the share of the longest window's error budget that is left. It is
	// negative if the budget is exceeded.
	BudgetLeft float64 `json:"budgetLeft"`
	Alarm      Alarm   `json:"alarm,omitempty"`
}

// Window holds the counts and the burn rate over one window.
type Window struct {
	Length time.Duration `json:"lengthNanoseconds"`
	Good   int64         `json:"good"`
	Total  int64         `json:"total"`
	// Burn is the burn rate: the error rate divided by the allowed error rate. At 1,
	// exactly the whole budget is used.
	Burn float64 `json:"burn"`
}

// Report holds the evaluations of all teams, sorted by BudgetLeft, lowest first.
type Report struct {
	// Instances is the number of instances whose counts are included. Missing lists
	// those that did not respond.
	Instances int                     `json:"instances"`
	Missing   []fescuebank.InstanceID `json:"missing,omitempty"`
	Lines     []Line                  `json:"lines"`
}

// Evaluate sums the counts of several instances and evaluates them.
func (Evaluator) Evaluate(instances [][]fescuebank.TeamServiceLevels, o fescuebank.Objectives) Report {
	byTeam := make(map[fescuebank.TeamID][]fescuebank.ServiceLevels)
	for _, teams := range instances {
		for _, t := range teams {
			sums := byTeam[t.Team]
			if sums == nil {
				sums = make([]fescuebank.ServiceLevels, len(fescuebank.BurnWindows))
				byTeam[t.Team] = sums
			}
			for i := range min(len(sums), len(t.Windows)) {
				sums[i].Add(t.Windows[i])
			}
		}
	}
	report := Report{Instances: len(instances), Lines: []Line{}}
	for team, sums := range byTeam {
		for _, objective := range objectives {
			if line, ok := newLine(team, objective, sums, o); ok {
				report.Lines = append(report.Lines, line)
			}
		}
	}
	slices.SortFunc(report.Lines, worstFirst)
	return report
}

func worstFirst(a, b Line) int {
	return cmp.Or(
		cmp.Compare(a.BudgetLeft, b.BudgetLeft),
		cmp.Compare(a.Team, b.Team),
		cmp.Compare(a.Objective, b.Objective),
	)
}

// newLine evaluates one objective of a team. It returns false if the longest window has no
// events.
func newLine(team fescuebank.TeamID, objective Objective, sums []fescuebank.ServiceLevels, o fescuebank.Objectives) (Line, bool) {
	line := Line{Team: team, Objective: objective, Target: targetOf(objective, o)}
	for i, sum := range sums {
		c := counterOf(objective, sum)
		w := Window{Length: fescuebank.BurnWindows[i], Good: c.Good, Total: c.Total}
		if c.Total > 0 {
			w.Burn = float64(c.Total-c.Good) / float64(c.Total) / (1 - line.Target)
		}
		line.Windows = append(line.Windows, w)
	}
	longest := line.Windows[len(line.Windows)-1]
	line.BudgetLeft = 1 - longest.Burn
	line.Alarm = alarmFor(line.Windows)
	return line, longest.Total > 0
}

func targetOf(objective Objective, o fescuebank.Objectives) float64 {
	switch objective {
	case FirstToken:
		return o.FirstTokenShare
	case Complete:
		return o.CompleteShare
	case Admitted:
		return o.AdmittedShare
	}
	return o.BatchOnTimeShare
}

func counterOf(objective Objective, l fescuebank.ServiceLevels) fescuebank.Counter {
	switch objective {
	case FirstToken:
		return l.FirstToken
	case Complete:
		return l.Complete
	case Admitted:
		return l.Admitted
	}
	return l.BatchOnTime
}

// alarmFor returns the alarm for the burn rates of all windows. It checks each long window
// together with the next shorter one.
func alarmFor(w []Window) Alarm {
	const (
		fiveMinutes = iota
		oneHour
		sixHours
		threeDays
	)
	switch {
	case w[oneHour].Burn >= fastPageBurn && w[fiveMinutes].Burn >= fastPageBurn:
		return Page
	case w[sixHours].Burn >= slowPageBurn && w[oneHour].Burn >= slowPageBurn:
		return Page
	case w[threeDays].Burn >= ticketBurn && w[sixHours].Burn >= ticketBurn:
		return Ticket
	}
	return NoAlarm
}
