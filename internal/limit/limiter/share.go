package limiter

import (
	"math"
	"strconv"

	"fescuebank"
)

// extraRepeaters is the number of instances besides the holders that repeat a statement, so that a
// holder that restarts learns it.
const extraRepeaters = 2

// role is what an instance does about the limit of an endpoint.
type role struct {
	// share is the part of the limit that the instance may use, 0 if it is no holder.
	share fescuebank.RequestRate
	// repeats is set if the instance tells others of the limit as long as it is in force.
	repeats bool
}

// roleOf returns the role of an instance of the fleet. The holders are the first by a rendezvous
// hash. All instances with the same members select the same ones, and hardly any changes if an
// instance comes or goes.
func roleOf(self fescuebank.InstanceID, members []fescuebank.InstanceID, tag fescuebank.EndpointTag, limit fescuebank.RequestRate) role {
	if limit <= 0 || len(members) == 0 {
		return role{}
	}
	holders := min(holderCount(limit), len(members))
	ahead := fescuebank.HashRank(strconv.FormatUint(uint64(tag), 10)+"/", self, members)
	r := role{repeats: ahead < holders+extraRepeaters}
	if ahead < holders {
		r.share = limit / fescuebank.RequestRate(holders)
	}
	return r
}

// holderCount returns the number of instances that may divide a limit, so that each can save up
// a request within saveTime. It is a power of two: so it is mostly the same for instances that
// know slightly different limits.
func holderCount(limit fescuebank.RequestRate) int {
	requests := float64(limit.Over(saveTime))
	if requests < 2 {
		return 1
	}
	const maxExponent = 20
	return 1 << int(min(maxExponent, math.Floor(math.Log2(requests))))
}
