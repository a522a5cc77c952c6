package fescuebank

import "time"

// Counter counts the events that met an objective (Good) and all events.
type Counter struct {
	Good  int64 `json:"good"`
	Total int64 `json:"total"`
}

// Add adds o to c.
func (c *Counter) Add(o Counter) {
	c.Good += o.Good
	c.Total += o.Total
}

// ServiceLevels counts the events of each objective.
type ServiceLevels struct {
	// FirstToken counts online responses whose first token met the objective.
	FirstToken Counter `json:"firstToken"`
	// Complete counts accepted online requests with a complete response.
	Complete Counter `json:"complete"`
	// Admitted counts requests within their team's rate that were not refused.
	Admitted Counter `json:"admitted"`
	// BatchOnTime counts batch items completed by their due time.
	BatchOnTime Counter `json:"batchOnTime"`
}

// Add adds o to l.
func (l *ServiceLevels) Add(o ServiceLevels) {
	l.FirstToken.Add(o.FirstToken)
	l.Complete.Add(o.Complete)
	l.Admitted.Add(o.Admitted)
	l.BatchOnTime.Add(o.BatchOnTime)
}

// BurnWindows are the windows of the burn report, shortest first.
var BurnWindows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// TeamServiceLevels holds one team's service levels over each of BurnWindows.
type TeamServiceLevels struct {
	Team    TeamID          `json:"team"`
	Windows []ServiceLevels `json:"windows"`
}

// EndpointStatus is an endpoint as one instance sees it.
type EndpointStatus struct {
	ID            EndpointID  `json:"id"`
	Zone          Zone        `json:"zone"`
	Online        int         `json:"online"`
	Limit         int         `json:"limit"`
	OtherRequests int         `json:"others"`
	Batch         int         `json:"batch"`
	Slots         int         `json:"slots"`
	Open          bool        `json:"open"`
	Owned         bool        `json:"owned"`
	Running       int         `json:"reportedRunning"`
	Waiting       int         `json:"reportedWaiting"`
	Models        []ModelName `json:"models"`
}

// Totals holds the counts of one instance since its start.
type Totals struct {
	Completed      int64 `json:"answered"`
	Failed         int64 `json:"failed"`
	RateLimited    int64 `json:"rateLimited"`
	RefusedInRate  int64 `json:"refusedInRate"`
	Retries        int64 `json:"retries"`
	BatchCompleted int64 `json:"batchCompleted"`
	BatchFailed    int64 `json:"batchFailed"`
	PeerRequests   int64 `json:"peerRequests"`
	PeerBytes      int64 `json:"peerBytes"`
}

// InstanceStatus is the state of one instance for operators.
type InstanceStatus struct {
	Instance    Instance            `json:"instance"`
	Incarnation Incarnation         `json:"incarnation"`
	Leaving     bool                `json:"leaving"`
	LeaseFresh  bool                `json:"leaseFresh"`
	Generation  Generation          `json:"generation"`
	Assignment  FencingNumber       `json:"assignment"`
	OwnedShards int                 `json:"ownedShards"`
	InFlight    int64               `json:"inFlight"`
	Queued      int                 `json:"queued"`
	Started     time.Time           `json:"started"`
	Totals      Totals              `json:"totals"`
	Endpoints   []EndpointStatus    `json:"endpoints"`
	Quarantined []CrashRecord       `json:"quarantined"`
	Levels      []TeamServiceLevels `json:"levels"`
}
