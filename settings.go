package fescuebank

import (
	"net"
	"regexp"
	"time"
)

// Settings holds what a daemon reads from its INI file at startup.
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
	// Region and Zone are where the instance is located.
	Region Region `ini:"region"`
	Zone   Zone   `ini:"zone"`
	// Weight is its capacity relative to other instances.
	Weight float64 `ini:"weight"`
}

// ListenSettings are section [listen]. Addresses are IP:PORT; port 0 picks a free port.
type ListenSettings struct {
	Callers   string `ini:"callers"`
	Operators string `ini:"operators"`
	Peers     string `ini:"peers"`
	// CallersURL is the URL announced to callers; empty means http://CALLERS.
	CallersURL string `ini:"callersUrl"`
	// Ready serves the readiness check; Addresses serves the addresses of the
	// instances that callers should use. Both are only used with the platform kind
	// "objects".
	Ready     string `ini:"ready"`
	Addresses string `ini:"addresses"`
	// Metrics serves counts and latencies; empty disables it.
	Metrics string `ini:"metrics"`
}

// PlatformSettings are section [platform].
type PlatformSettings struct {
	// Kind is "own" for the object API of this project, or "objects" for the API of
	// platforms that also store configuration and endpoints as objects.
	Kind string `ini:"kind"`
	// URL is the base address of the object API and the instance list.
	URL string `ini:"url"`
	// WeightsURL is the base address of the weight store.
	WeightsURL string `ini:"weightsUrl"`
	// Evacuations makes the instance learn which zones operators evacuate before it accepts requests.
	// It is only used with the kind "objects".
	Evacuations bool `ini:"evacuations"`
	// Token authenticates the instance to the platform.
	Token string `ini:"token"`
}

// TLSSettings are section [tls]: mutual TLS between instances and the certificate
// of the operators' address.
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
	// Entry serves callers.
	Entry bool `ini:"entry"`
	// Owner makes the instance eligible as an owner of limits, jobs and endpoints.
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
	// QueueLength bounds the online requests of one team that wait at this instance.
	QueueLength int `ini:"queueLength"`
	// Homes is the number of home instances of a team.
	Homes int `ini:"homes"`
	// Attempts bounds the attempts of one request.
	Attempts int `ini:"attempts"`
	// StoreCallsPerSecond is this instance's budget of store calls.
	StoreCallsPerSecond float64 `ini:"storeCallsPerSecond"`
	// BatchHeadroom is the share of an endpoint's slots that batch work always leaves
	// free. It must be the same on all instances.
	BatchHeadroom float64 `ini:"batchHeadroom"`
	// ColdOverage and ColdSlack bound what a cold endpoint may get from all instances
	// together in one second: its rate times ColdOverage, and ColdSlack requests more. They must
	// be the same on all instances.
	ColdOverage float64 `ini:"coldOverage"`
	ColdSlack   float64 `ini:"coldSlack"`
	// ClockError bounds how far clock rates differ between instances, as a share.
	ClockError float64 `ini:"clockError"`
	// MemoryMiB is the memory of the machine; 0 means unknown.
	MemoryMiB int `ini:"memoryMiB"`
}

// TimingSettings are section [timing], in Go's duration format.
type TimingSettings struct {
	// LeaseTTL is the duration of a lease; LeaseRenew is the interval of renewals.
	LeaseTTL   time.Duration `ini:"leaseTtl"`
	LeaseRenew time.Duration `ini:"leaseRenew"`
	// LeaseMargin is the minimum time between an owner's last action and a takeover by
	// another instance.
	LeaseMargin time.Duration `ini:"leaseMargin"`
	// Probe is the interval of direct probes; Suspect is the time without a response
	// after which an instance is suspected.
	Probe   time.Duration `ini:"probe"`
	Suspect time.Duration `ini:"suspect"`
	// AddressTTL is how long callers may cache the list of addresses.
	AddressTTL time.Duration `ini:"addressTtl"`
	// OnlineDeadline is the time limit of an online request, from its arrival.
	OnlineDeadline time.Duration `ini:"onlineDeadline"`
	// Silence is how long an endpoint's stream may stall.
	Silence time.Duration `ini:"silence"`
	// Commit is the interval of group commits of batch results.
	Commit time.Duration `ini:"commit"`
	// ItemExpiry is the longest time between two reports of a batch item before the
	// item is handed out again.
	ItemExpiry time.Duration `ini:"itemExpiry"`
	// OrderFlight bounds how long a command to an endpoint may be in flight.
	OrderFlight time.Duration `ini:"orderFlight"`
	// ConfigStale is the time without contact to the store and peers after which
	// requests with a key are refused.
	ConfigStale time.Duration `ini:"configStale"`
	// Grace is how long a process may take to shut down after SIGTERM.
	Grace time.Duration `ini:"grace"`
}

// LogSettings are section [log].
type LogSettings struct {
	// Level is trace, debug, info, warn or error.
	Level string `ini:"level"`
	// JSON selects one JSON object per line as the format.
	JSON bool `ini:"json"`
	// Lines bounds the lines per second; Ordinary bounds those of successful
	// requests.
	Lines    int `ini:"lines"`
	Ordinary int `ini:"ordinary"`
}

// Defaults sets the values of an empty settings file.
func (s *Settings) Defaults() {
	s.Instance.Weight = 1
	s.Instance.Region = "local"
	s.Roles = RoleSettings{Entry: true, Owner: true, Console: true}
	s.Limits = LimitSettings{
		BodyBytes: 4 * MiB, FileBytes: 256 * MiB, HeaderBytes: 32 * KiB,
		QueueLength: 512, Homes: 4, Attempts: 4, StoreCallsPerSecond: 40, BatchHeadroom: 0.08, ClockError: 0.001,
		ColdOverage: 1, ColdSlack: 1,
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

// validateObjects checks the settings of an instance on a platform that stores
// configuration and endpoints itself. Certificates and operators are not used there.
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
	f.Check(s.Limits.ColdOverage > 0, "[limits] coldOverage", "want above 0")
	f.Check(s.Limits.ColdSlack >= 0, "[limits] coldSlack", "want 0 or more")
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
