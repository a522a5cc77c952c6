package limiter

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"fescuebank"
)

// shareOf returns the part of an endpoint's limit that an instance of the fleet may use. The
// holders are the first by a rendezvous hash. All instances with the same members select the same
// ones, and hardly any changes if an instance comes or goes.
func shareOf(self fescuebank.InstanceID, members []fescuebank.InstanceID, tag fescuebank.EndpointTag, limit fescuebank.RequestRate) fescuebank.RequestRate {
	if limit <= 0 || len(members) == 0 {
		return 0
	}
	holders := min(holderCount(limit), len(members))
	if holdersAhead(self, members, tag) >= holders {
		return 0
	}
	return limit / fescuebank.RequestRate(holders)
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

// holdersAhead returns the number of members that precede an instance in the order of an
// endpoint.
func holdersAhead(self fescuebank.InstanceID, members []fescuebank.InstanceID, tag fescuebank.EndpointTag) int {
	key := strconv.FormatUint(uint64(tag), 10) + "/"
	compare := func(a, b fescuebank.InstanceID) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(key+string(b)), xxhash.Sum64String(key+string(a))), cmp.Compare(a, b))
	}
	return len(slices.DeleteFunc(slices.Clone(members), func(m fescuebank.InstanceID) bool { return compare(m, self) >= 0 }))
}
