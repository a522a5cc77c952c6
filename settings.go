package fescuebank

import (
	"net"
	"regexp"
	"time"
)

// Settings are what one daemon reads from its INI file at start.
type Settings struct {
	Instance  InstanceSettings
	Listen    ListenSettings
	Platform  PlatformSettings
	TLS       TLSSettings
	Operators OperatorSettings
	Roles     RoleSettings
	Limits    LimitSettings
	Timing    TimingSettings
	Log       LogSettings
}

// InstanceSettings are section [instance].
type InstanceSettings struct {
	// ID is the instance's id.
	ID InstanceID `ini:"id"`
	// Region and Zone are where it stands.
	Region Region `ini:"region"`
	Zone   Zone   `ini:"zone"`
	// Weight is its capacity relative to other instances.
	Weight float64 `ini:"weight"`
}

// ListenSettings are section [listen]. Addresses are IP:PORT; port 0 takes a free one.
type ListenSettings struct {
	Callers   string `ini:"callers"`
	Operators string `ini:"operators"`
	Peers     string `ini:"peers"`
	// CallersURL is what callers are told; empty means http://CALLERS.
	CallersURL string `ini:"callersUrl"`
	// Ready answers whether the instance is ready; Addresses tells callers which
	// instances to use. Both are used with the platform kind "objects" alone.
	Ready     string `ini:"ready"`
	Addresses string `ini:"addresses"`
	// Metrics serves counts and latencies; empty means nowhere.
	Metrics string `ini:"metrics"`
}

// PlatformSettings are section [platform].
type PlatformSettings struct {
	// Kind is "own" for the object API of this project, or "objects" for the one
	// of deployments whose configuration and endpoints are objects there.
	Kind string `ini:"kind"`
	// URL is the base address of the object API and the instance list.
	URL string `ini:"url"`
	// WeightsURL is the base address of the weight store.
	WeightsURL string `ini:"weightsUrl"`
	// Token is presented to the platform.
	Token string `ini:"token"`
}

// TLSSettings are section [tls]: the mutual TLS between instances and the
// certificate of the operators' address.
type TLSSettings struct {
	CA   string `ini:"ca"`
	Cert string `ini:"cert"`
	Key  string `ini:"key"`
}

// OperatorSettings are section [operators].
type OperatorSettings struct {
	// User and PasswordSHA256 are the credentials of console and fescuectl.
	User           string `ini:"user"`
	PasswordSHA256 string `ini:"passwordSha256"`
}

// RoleSettings are section [roles]. Every role is on by default.
type RoleSettings struct {
	// Entry answers callers.
	Entry bool `ini:"entry"`
	// Owner takes part in ownership: limits, jobs, endpoints.
	Owner bool `ini:"owner"`
	// Console serves operators.
	Console bool `ini:"console"`
}

// LimitSettings are section [limits].
type LimitSettings struct {
	// BodyBytes bounds a request body; FileBytes bounds an uploaded file.
	BodyBytes Bytes `ini:"bodyBytes"`
	FileBytes Bytes `ini:"fileBytes"`
	// HeaderBytes bounds the headers of a request.
	HeaderBytes Bytes `ini:"headerBytes"`
	// QueueLength bounds the online requests of one team that wait here.
	QueueLength int `ini:"queueLength"`
	// Homes is the number of home instances of a team.
	Homes int `ini:"homes"`
	// Attempts bounds how often one request is tried.
	Attempts int `ini:"attempts"`
	// StoreCallsPerSecond is this instance's own budget of store calls.
	StoreCallsPerSecond float64 `ini:"storeCallsPerSecond"`
	// BatchHeadroom is the share of an endpoint's slots that batch work leaves
	// free at least; the same on all instances.
	BatchHeadroom float64 `ini:"batchHeadroom"`
	// ClockError bounds how far clock rates differ between instances, as a share.
	ClockError float64 `ini:"clockError"`
	// MemoryMiB is the memory of the machine; 0 means unknown.
	MemoryMiB int `ini:"memoryMiB"`
}

// TimingSettings are section [timing], in Go's duration format.
type TimingSettings struct {
	// LeaseTTL is how long a lease lasts; LeaseRenew how often it is renewed.
	LeaseTTL   time.Duration `ini:"leaseTtl"`
	LeaseRenew time.Duration `ini:"leaseRenew"`
	// LeaseMargin is kept between the end of acting and a takeover.
	LeaseMargin time.Duration `ini:"leaseMargin"`
	// Probe is the interval of direct probes; Suspect how long without an answer
	// makes an instance suspect.
	Probe   time.Duration `ini:"probe"`
	Suspect time.Duration `ini:"suspect"`
	// AddressTTL is how long callers keep the address answer.
	AddressTTL time.Duration `ini:"addressTtl"`
	// OnlineDeadline bounds an online request from its arrival.
	OnlineDeadline time.Duration `ini:"onlineDeadline"`
	// Silence is how long an endpoint's stream may make no progress.
	Silence time.Duration `ini:"silence"`
	// Commit is the interval of group commits of batch results.
	Commit time.Duration `ini:"commit"`
	// ItemExpiry is how long a puller may be silent about a batch item.
	ItemExpiry time.Duration `ini:"itemExpiry"`
	// OrderFlight bounds how long an order to an endpoint may be on its way.
	OrderFlight time.Duration `ini:"orderFlight"`
	// ConfigStale is how long without store and peers makes keyed work refused.
	ConfigStale time.Duration `ini:"configStale"`
	// Grace is how long a process may take to leave after SIGTERM.
	Grace time.Duration `ini:"grace"`
}

// LogSettings are section [log].
type LogSettings struct {
	// Level is trace, debug, info, warn or error.
	Level string `ini:"level"`
	// JSON writes one JSON object a line.
	JSON bool `ini:"json"`
	// Lines bounds the lines of a second; Ordinary bounds those of requests that
	// were answered as usual.
	Lines    int `ini:"lines"`
	Ordinary int `ini:"ordinary"`
}

// Defaults returns the settings of a file that says nothing.
func (s *Settings) Defaults() {
	s.Instance.Weight = 1
	s.Instance.Region = "local"
	s.Roles = RoleSettings{Entry: true, Owner: true, Console: true}
	s.Limits = LimitSettings{
		BodyBytes: 4 * MiB, FileBytes: 256 * MiB, HeaderBytes: 32 * KiB,
		QueueLength: 512, Homes: 4, Attempts: 4, StoreCallsPerSecond: 40, BatchHeadroom: 0.08, ClockError: 0.001,
	}
	s.Timing = TimingSettings{
		LeaseTTL: 10 * time.Second, LeaseRenew: 3 * time.Second, LeaseMargin: time.Second,
		Probe: time.Second, Suspect: 3 * time.Second, AddressTTL: 10 * time.Second,
		OnlineDeadline: 2 * time.Minute, Silence: 5 * time.Second,
		Commit: time.Second, ItemExpiry: 10 * time.Second,
		OrderFlight: 5 * time.Second, ConfigStale: 10 * time.Second, Grace: 8 * time.Second,
	}
	s.Platform.Kind = PlatformOwn
	s.Log.Level = "info"
	s.Log.Lines, s.Log.Ordinary = 1000, 100
}

var sha256Pattern = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)

// The kinds of platform.
const (
	PlatformOwn     = "own"
	PlatformObjects = "objects"
)

// Validate returns every fault as *Faults, or nil.
func (s *Settings) Validate() error {
	var f Faults
	f.Check(s.Platform.Kind == PlatformOwn || s.Platform.Kind == PlatformObjects, "[platform] kind", "want own or objects")
	if s.Platform.Kind == PlatformObjects {
		return s.validateObjects()
	}
	f.Check(namePattern.MatchString(string(s.Instance.ID)), "[instance] id", "want letters, digits, dots, dashes or underscores")
	f.Check(s.Instance.Zone != "", "[instance] zone", "want an availability zone")
	f.Check(s.Instance.Region != "", "[instance] region", "want a region")
	f.Check(s.Instance.Weight > 0, "[instance] weight", "want above 0")
	checkAddr(&f, "[listen] callers", s.Listen.Callers)
	checkAddr(&f, "[listen] operators", s.Listen.Operators)
	checkAddr(&f, "[listen] peers", s.Listen.Peers)
	checkURL(&f, "[platform] url", s.Platform.URL)
	if s.Platform.WeightsURL != "" {
		checkURL(&f, "[platform] weightsUrl", s.Platform.WeightsURL)
	}
	f.Check(s.TLS.CA != "", "[tls] ca", "want a PEM file")
	f.Check(s.TLS.Cert != "", "[tls] cert", "want a PEM file")
	f.Check(s.TLS.Key != "", "[tls] key", "want a PEM file")
	f.Check(s.Operators.User != "", "[operators] user", "want a user name")
	f.Check(sha256Pattern.MatchString(s.Operators.PasswordSHA256), "[operators] passwordSha256", "want 64 hexadecimal digits")
	s.Limits.validate(&f)
	s.Timing.validate(&f)
	f.Check(logLevels[s.Log.Level], "[log] level", "want trace, debug, info, warn or error")
	return f.Err()
}

// validateObjects checks the settings of an instance on a platform that lists
// configuration and endpoints itself. Certificates and operators have no part there.
func (s *Settings) validateObjects() error {
	var f Faults
	f.Check(namePattern.MatchString(string(s.Instance.ID)), "[instance] id", "want letters, digits, dots, dashes or underscores")
	f.Check(s.Instance.Zone != "", "[instance] zone", "want an availability zone")
	f.Check(s.Instance.Weight > 0, "[instance] weight", "want above 0")
	checkAddr(&f, "[listen] peers", s.Listen.Peers)
	if s.Roles.Entry {
		checkAddr(&f, "[listen] callers", s.Listen.Callers)
		checkAddr(&f, "[listen] ready", s.Listen.Ready)
		checkAddr(&f, "[listen] addresses", s.Listen.Addresses)
	}
	if s.Listen.Metrics != "" {
		checkAddr(&f, "[listen] metrics", s.Listen.Metrics)
	}
	f.Check(s.Log.Lines >= 1, "[log] lines", "want 1 or more")
	f.Check(s.Log.Ordinary >= 0, "[log] ordinary", "want 0 or more")
	checkURL(&f, "[platform] url", s.Platform.URL)
	f.Check(s.Limits.MemoryMiB >= 0, "[limits] memoryMiB", "want 0 or more")
	f.Check(s.Timing.Grace > 0, "[timing] grace", "want a duration above 0, such as 8s")
	f.Check(s.Timing.AddressTTL > 0, "[timing] addressTtl", "want a duration above 0, such as 5s")
	f.Check(logLevels[s.Log.Level], "[log] level", "want trace, debug, info, warn or error")
	return f.Err()
}

var logLevels = map[string]bool{"trace": true, "debug": true, "info": true, "warn": true, "error": true}

func (l *LimitSettings) validate(f *Faults) {
	f.Check(l.BodyBytes >= KiB, "[limits] bodyBytes", "want 1024 or more")
	f.Check(l.FileBytes >= KiB, "[limits] fileBytes", "want 1024 or more")
	f.Check(l.HeaderBytes >= KiB, "[limits] headerBytes", "want 1024 or more")
	f.Check(l.QueueLength >= 1, "[limits] queueLength", "want 1 or more")
	f.Check(l.Homes >= 1, "[limits] homes", "want 1 or more")
	f.Check(l.Attempts >= 1, "[limits] attempts", "want 1 or more")
	f.Check(l.StoreCallsPerSecond >= 1, "[limits] storeCallsPerSecond", "want 1 or more")
	f.Check(l.BatchHeadroom >= 0 && l.BatchHeadroom < 1, "[limits] batchHeadroom", "want 0 or more and below 1")
	f.Check(l.ClockError >= 0 && l.ClockError < 0.1, "[limits] clockError", "want 0 or more and below 0.1")
}

func (t *TimingSettings) validate(f *Faults) {
	for _, d := range []struct {
		name  string
		value time.Duration
	}{
		{"leaseTtl", t.LeaseTTL}, {"leaseRenew", t.LeaseRenew}, {"leaseMargin", t.LeaseMargin},
		{"probe", t.Probe}, {"suspect", t.Suspect}, {"addressTtl", t.AddressTTL},
		{"onlineDeadline", t.OnlineDeadline}, {"silence", t.Silence}, {"commit", t.Commit},
		{"itemExpiry", t.ItemExpiry}, {"orderFlight", t.OrderFlight}, {"configStale", t.ConfigStale},
	} {
		f.Check(d.value > 0, "[timing] "+d.name, "want a duration above 0, such as 3s")
	}
	f.Check(t.LeaseRenew+t.LeaseMargin < t.LeaseTTL, "[timing] leaseTtl", "want more than leaseRenew and leaseMargin together")
	f.Check(t.Probe < t.Suspect, "[timing] suspect", "want more than probe")
}

func checkAddr(f *Faults, path, addr string) {
	host, _, err := net.SplitHostPort(addr)
	f.Check(err == nil && net.ParseIP(host) != nil, path, "want IP:PORT")
}
