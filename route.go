package fescuebank

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RouteKind determines whether requests on a route may be repeated.
type RouteKind uint8

// The kinds of routes.
const (
	RouteIdempotent RouteKind = iota + 1
	RouteNonIdempotent
	RouteStreaming
	RouteBatch
)

// ServiceShare is the share of a route's requests that goes to one service.
type ServiceShare struct {
	Service ServiceName
	// Weight is relative to the other shares of the route, 0 or more.
	Weight int
}

// Route routes the requests for one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Resumable streams may continue at another endpoint after a failure.
	Resumable bool
	// Timeout is the longest time that a caller waits for the end of the response.
	Timeout time.Duration
	// Objective is the time to the first byte of the response that callers expect.
	Objective time.Duration
	// GapObjective is the longest pause within a stream that callers expect.
	GapObjective time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Shares has at least one entry.
	Shares []ServiceShare
	// Attempts is how many endpoints may run one request, 1 or more.
	Attempts int
	// Open routes need no key.
	Open bool
	// MaxWaitingTokens bounds the tokens of a team's batch items that wait; 0 means no
	// bound.
	MaxWaitingTokens Tokens
	// CompletionObjective is the time from the first submission of a batch job to its
	// last result that callers expect.
	CompletionObjective time.Duration
	// Retention is how long after the job's first submission an item of a batch job is
	// tried before it may fail permanently.
	Retention time.Duration
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteBatch || (r.Kind == RouteStreaming && r.Resumable)
}

// Serves reports whether the route sends requests to a service.
func (r *Route) Serves(service ServiceName) bool {
	return slices.ContainsFunc(r.Shares, func(s ServiceShare) bool { return s.Service == service })
}

// PickService returns the service for a uniformly distributed random number in [0,1).
func (r *Route) PickService(random float64) ServiceName {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := random * float64(total)
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// ServiceOf returns the service of the request or item with an id, which is the same at all instances and at each attempt while the
// route's shares stay.
func (r *Route) ServiceOf(id string) ServiceName {
	const mantissaBits = 53
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	return r.PickService(float64(xxhash.Sum64String(id)>>(64-mantissaBits)) / (1 << mantissaBits))
}

// RoutedService is a group of endpoints that routes refer to.
type RoutedService struct {
	Name ServiceName
	// HealthPath is the path of an endpoint's health check.
	HealthPath string
	// MaxConnections bounds the connections of all instances to one endpoint.
	MaxConnections int
	// CacheTokens is the size of one endpoint's KV cache in tokens; 0 if it runs no
	// model.
	CacheTokens Tokens
	// ColdRate is the number of requests per second that an endpoint bears from all
	// instances together while it is cold; 0 means no limit. ColdTime is how long it is cold
	// after a start.
	ColdRate RequestRate
	ColdTime time.Duration
}

// TeamSettings holds a team's quota and priority.
type TeamSettings struct {
	ID    TeamID
	Quota Quota
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// CallerLimits bounds the size and duration of callers' requests.
type CallerLimits struct {
	HeaderBytes   Bytes
	BodyBytes     Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteTable is one version of the configuration of routes. It is immutable after
// SetRoutes.
type RouteTable struct {
	Version  Generation
	Services map[ServiceName]RoutedService
	// Teams is empty if requests need no key.
	Teams  map[TeamID]TeamSettings
	Keys   map[KeyHash]TeamID
	Limits CallerLimits
	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]Route
	// batch holds the routes of batch jobs by name.
	batch map[string]*Route
}

// SetRoutes sets and indexes the routes of a new table.
func (t *RouteTable) SetRoutes(routes []Route) {
	t.hosts = make(map[string][]Route)
	t.batch = make(map[string]*Route)
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		if r.Kind == RouteBatch {
			t.batch[r.Name] = &r
		}
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// BatchRoute returns the route of batch jobs with a name. A job keeps the name of the route on which it was accepted; its
// path may belong to another route by now.
func (t *RouteTable) BatchRoute(name string) (*Route, bool) {
	r, ok := t.batch[name]
	return r, ok
}

// Match returns the route of the requests for a host and path. A submitted job is found by its route's name instead.
func (t *RouteTable) Match(host, path string) (*Route, bool) {
	list := t.hosts[strings.ToLower(host)]
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i], true
		}
	}
	return nil, false
}

// HasHost reports whether the table has a route for the host.
func (t *RouteTable) HasHost(host string) bool {
	return len(t.hosts[strings.ToLower(host)]) > 0
}

// TeamRates returns the rates to which the teams are limited; 0 stands for no limit.
func (t *RouteTable) TeamRates() map[TeamID]RequestRate {
	rates := make(map[TeamID]RequestRate, len(t.Teams))
	for id, team := range t.Teams {
		rates[id] = team.Quota.Rate
	}
	return rates
}

// TeamOf returns the team that a key belongs to.
func (t *RouteTable) TeamOf(key string) (TeamID, bool) {
	team, ok := t.Keys[HashKey(key)]
	return team, ok
}

// ServedEndpoint is an endpoint that has registered itself.
type ServedEndpoint struct {
	ID      EndpointID
	Service ServiceName
	// Addr is IP:PORT.
	Addr string
	Zone Zone
	// Version is that of the endpoint's software. A stream continues only at endpoints of
	// the same version.
	Version string
	// Slots is how many requests it can run at once, 1 or more.
	Slots int
	// Leaving endpoints accept no new requests.
	Leaving bool
	// StartedUnixMilli is when this incarnation of the endpoint started, in Unix milliseconds.
	// A later incarnation with the same id has no state of the earlier one.
	StartedUnixMilli int64
	// ColdLeft is how much longer the endpoint is cold, as of when it wrote its entry.
	ColdLeft time.Duration
	// EntryVersion is the store version of the entry.
	EntryVersion StoreVersion
}
