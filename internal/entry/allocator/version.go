package allocator

import (
	"maps"
	"slices"
	"time"

	"fescuebank"
)

// versionMemory is how long after its last endpoint left a software version may still have
// begun a stream that continues. It is longer than any stream lasts.
const versionMemory = 30 * time.Second

// serviceVersion is a software version of a service's endpoints.
type serviceVersion struct {
	service fescuebank.ServiceName
	version string
}

// versionHistory records which software versions have served.
type versionHistory struct {
	// since is when endpoints were first listed; zero before.
	since time.Time
	// leftAt is when the versions that left within versionMemory were last listed.
	leftAt map[serviceVersion]time.Time
}

// record records that a list of endpoints was in force until now and is replaced.
func (h *versionHistory) record(former map[fescuebank.EndpointID]*endpoint, now time.Time) {
	if h.leftAt == nil {
		h.leftAt = make(map[serviceVersion]time.Time)
		h.since = now
	}
	for version, left := range h.leftAt {
		if now.Sub(left) >= versionMemory {
			delete(h.leftAt, version)
		}
	}
	for _, e := range former {
		h.leftAt[serviceVersion{e.Service, e.Version}] = now
	}
}

// SoleVersion returns the software version at which every stream of the service that may still
// continue began, or false if there may be several. Endpoints without a version count
// as one version.
func (a *Allocator) SoleVersion(service fescuebank.ServiceName) (version string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	versions := a.recentVersions(service, now)
	if len(versions) != 1 {
		return "", false
	}
	sole := versions[0]
	return sole, sole == "" || now.Sub(a.versions.since) >= versionMemory
}

// OnlyVersion returns the software version of the service if endpoints of no other one have been
// listed within versionMemory, as far as this instance has run that long.
func (a *Allocator) OnlyVersion(service fescuebank.ServiceName) (version string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	versions := a.recentVersions(service, a.clock.Now())
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// Versions returns the only software version listed of each service that states one, and since when
// no other has been listed here.
func (a *Allocator) Versions() map[fescuebank.ServiceName]fescuebank.SoleVersion {
	a.mu.Lock()
	defer a.mu.Unlock()
	versions := make(map[fescuebank.ServiceName]fescuebank.SoleVersion)
	for _, e := range a.endpoints {
		if e.Version == "" {
			continue
		}
		known, ok := versions[e.Service]
		if ok && known.Version != e.Version {
			versions[e.Service] = fescuebank.SoleVersion{Since: a.clock.Now()}
			continue
		}
		versions[e.Service] = fescuebank.SoleVersion{Version: e.Version, Since: a.versions.soleSince(e.Service, e.Version)}
	}
	return versions
}

// ListedSince returns when endpoints were first listed here; zero if none were.
func (a *Allocator) ListedSince() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.versions.since
}

// soleSince returns since when no other version of the service has been listed.
func (h *versionHistory) soleSince(service fescuebank.ServiceName, version string) time.Time {
	since := h.since
	for v, left := range h.leftAt {
		if v.service == service && v.version != version {
			since = fescuebank.Latest(since, left)
		}
	}
	return since
}

// recentVersions returns the software versions of the service that serve or have left within
// versionMemory. The caller holds the lock.
func (a *Allocator) recentVersions(service fescuebank.ServiceName, now time.Time) []string {
	versions := make(map[string]bool)
	for _, e := range a.endpoints {
		if e.Service == service {
			versions[e.Version] = true
		}
	}
	for v, left := range a.versions.leftAt {
		if v.service == service && now.Sub(left) < versionMemory {
			versions[v.version] = true
		}
	}
	return slices.Collect(maps.Keys(versions))
}
