package fescuebank

// Health is the state of an instance in failure detection.
type Health uint8

// The states of an instance. At the same counter, each overrides those before it.
const (
	Alive Health = iota
	Leaving
	Suspect
)

// HealthUpdate states the health of one instance. Probes and their replies carry updates.
type HealthUpdate struct {
	ID InstanceID `cbor:"1,keyasint"`
	// Counter is incremented by the instance itself to refute a suspicion.
	Counter uint64 `cbor:"2,keyasint"`
	Health  Health `cbor:"3,keyasint"`
}

// Overrides reports whether u is newer than old.
func (u HealthUpdate) Overrides(old HealthUpdate) bool {
	if u.Counter != old.Counter {
		return u.Counter > old.Counter
	}
	return u.Health > old.Health
}
