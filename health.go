package fescuebank

// Health is what is known of an instance's life.
type Health uint8

// The healths of an instance, each overriding those before it at the same counter.
const (
	Alive Health = iota
	Leaving
	Suspect
)

// HealthUpdate is one piece of knowledge of an instance's health, passed on with probes.
type HealthUpdate struct {
	ID InstanceID `cbor:"1,keyasint"`
	// Counter is raised by the instance itself to refute a suspicion.
	Counter uint64 `cbor:"2,keyasint"`
	Health  Health `cbor:"3,keyasint"`
}

// Overrides reports whether r is newer knowledge than old.
func (r HealthUpdate) Overrides(old HealthUpdate) bool {
	if r.Counter != old.Counter {
		return r.Counter > old.Counter
	}
	return r.Health > old.Health
}
