// Package evaluator works out how fast error budgets burn.
package evaluator

import (
	"cmp"
	"slices"
	"time"

	"fescuebank"
)

// Evaluator adds up counts of instances and rates them against objectives.
type Evaluator struct{}

// Objective names one objective of the report.
type Objective string

// The objectives.
const (
	FirstToken  Objective = "firstToken"
	Complete    Objective = "complete"
	Admitted    Objective = "admitted"
	BatchOnTime Objective = "batchOnTime"
)

// objectives lists them in the order of the report.
var objectives = []Objective{FirstToken, Complete, Admitted, BatchOnTime}

// Alarm says how urgent a burn is.
type Alarm string

// The alarms. Each needs a long and a short window over its rate, so that it
// neither fires on a blip nor stays on after the burn has stopped.
const (
	NoAlarm Alarm = ""
	Ticket  Alarm = "ticket"
	Page    Alarm = "page"
)

// Rates of burn that raise alarms: at pageFast a 3 day budget is gone in about
// 5 hours, at pageSlow in 12, at ticket in 3 days.
const (
	pageFast = 14.4
	pageSlow = 6.0
	ticket   = 1.0
)

// Line is one team's burn of one objective.
type Line struct {
	Team      fescuebank.TeamID `json:"team"`
	Objective Objective         `json:"objective"`
	// Target is the share of events that must be good.
	Target  float64  `json:"target"`
	Windows []Window `json:"windows"`
	// BudgetLeft is the share of the longest window's error budget that is left;
	// below 0 it is overspent.
	BudgetLeft float64 `json:"budgetLeft"`
	Alarm      Alarm   `json:"alarm,omitempty"`
}

// Window is the burn over one window.
type Window struct {
	Length time.Duration `json:"lengthNanoseconds"`
	Good   int64         `json:"good"`
	Total  int64         `json:"total"`
	// Burn is the error rate over the allowed error rate; 1 uses up the budget
	// exactly.
	Burn float64 `json:"burn"`
}

// Report is the whole report, the worst line first.
type Report struct {
	// Instances is how many instances' counts are in it; Missing did not answer.
	Instances int                     `json:"instances"`
	Missing   []fescuebank.InstanceID `json:"missing,omitempty"`
	Lines     []Line                  `json:"lines"`
}

// Report rates the levels of several instances.
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

// newLine rates one objective of a team; it returns false if nothing happened.
func newLine(team fescuebank.TeamID, objective Objective, sums []fescuebank.ServiceLevels, o fescuebank.Objectives) (Line, bool) {
	line := Line{Team: team, Objective: objective, Target: target(objective, o)}
	for i, sum := range sums {
		c := counter(objective, sum)
		w := Window{Length: fescuebank.BurnWindows[i], Good: c.Good, Total: c.Total}
		if c.Total > 0 {
			w.Burn = float64(c.Total-c.Good) / float64(c.Total) / (1 - line.Target)
		}
		line.Windows = append(line.Windows, w)
	}
	longest := line.Windows[len(line.Windows)-1]
	line.BudgetLeft = 1 - longest.Burn
	line.Alarm = alarm(line.Windows)
	return line, longest.Total > 0
}

func target(objective Objective, o fescuebank.Objectives) float64 {
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

func counter(objective Objective, l fescuebank.ServiceLevels) fescuebank.Counter {
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

// alarm pairs each long window with the next shorter one.
func alarm(w []Window) Alarm {
	const (
		fiveMinutes = iota
		oneHour
		sixHours
		threeDays
	)
	switch {
	case w[oneHour].Burn >= pageFast && w[fiveMinutes].Burn >= pageFast:
		return Page
	case w[sixHours].Burn >= pageSlow && w[oneHour].Burn >= pageSlow:
		return Page
	case w[threeDays].Burn >= ticket && w[sixHours].Burn >= ticket:
		return Ticket
	}
	return NoAlarm
}
