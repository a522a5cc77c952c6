package throttler

import (
	"cmp"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"fescuebank"
)

// partOf returns the part of a cold endpoint's rate that an instance of the fleet may use, 0 if it is no
// holder. Each holder may save up one request, so that in any second all together send at most the rate
// and one request per holder. There are as many holders as the bounds bear, the first by a rendezvous
// hash: all instances with the same members select the same ones.
func partOf(self fescuebank.InstanceID, members []fescuebank.InstanceID, tag fescuebank.EndpointTag, limit fescuebank.RequestRate, bounds fescuebank.ColdBounds) fescuebank.RequestRate {
	if limit <= 0 || len(members) == 0 {
		return 0
	}
	limit, holders := divided(limit, bounds)
	holders = min(holders, len(members))
	if ahead(self, members, tag) >= holders {
		return 0
	}
	return limit / fescuebank.RequestRate(holders)
}

// divided returns the rate that the holders divide and how many holders may divide it. Both together
// are at most limit x Overage + Slack, as far as one holder allows it.
func divided(limit fescuebank.RequestRate, bounds fescuebank.ColdBounds) (fescuebank.RequestRate, int) {
	most := float64(limit)*bounds.Overage + float64(bounds.Slack)
	shared := min(float64(limit), max(most-1, 0))
	return fescuebank.RequestRate(shared), max(1, int(math.Floor(most-shared)))
}

// ahead returns the number of members that precede an instance in the order of an endpoint.
func ahead(self fescuebank.InstanceID, members []fescuebank.InstanceID, tag fescuebank.EndpointTag) int {
	key := "cold/" + strconv.FormatUint(uint64(tag), 10) + "/"
	hash := func(id fescuebank.InstanceID) uint64 { return xxhash.Sum64String(key + string(id)) }
	own, count := hash(self), 0
	for _, m := range members {
		if c := cmp.Compare(hash(m), own); c > 0 || (c == 0 && m < self) {
			count++
		}
	}
	return count
}
