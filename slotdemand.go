package fescuebank

import "github.com/cespare/xxhash/v2"

// TeamTag is a hash of a team's id that shortens messages between instances. If two
// teams collide, their uses add up and look too high.
type TeamTag uint32

// Tag returns the team's tag.
func (t TeamID) Tag() TeamTag {
	return TeamTag(xxhash.Sum64String(string(t)))
}

// SlotDemand is what an instance states of its callers' demand for slots while slots are short.
// Uses are numbers of requests of average cost that recently got a slot.
type SlotDemand struct {
	// Use is the use of all teams together.
	Use int `cbor:"1,keyasint,omitempty"`
	// Behind is the number of waiting requests of teams above their share.
	Behind int `cbor:"2,keyasint,omitempty"`
	// Returning is the number of refused callers that are expected to return.
	Returning int `cbor:"3,keyasint,omitempty"`
	// Teams holds the uses of the teams that use most for their weight. The number of its
	// entries is bounded.
	Teams map[TeamTag]int `cbor:"4,keyasint,omitempty"`
}

// Add adds other to d. Nil stands for no demand.
func (d *SlotDemand) Add(other *SlotDemand) {
	d.addTimes(other, 1)
}

// Subtract subtracts other, which was added to d before.
func (d *SlotDemand) Subtract(other *SlotDemand) {
	d.addTimes(other, -1)
}

func (d *SlotDemand) addTimes(other *SlotDemand, factor int) {
	if other == nil {
		return
	}
	d.Use += factor * other.Use
	d.Behind += factor * other.Behind
	d.Returning += factor * other.Returning
	if d.Teams == nil {
		d.Teams = make(map[TeamTag]int, len(other.Teams))
	}
	for tag, n := range other.Teams {
		d.Teams[tag] += factor * n
		if d.Teams[tag] == 0 {
			delete(d.Teams, tag)
		}
	}
}
