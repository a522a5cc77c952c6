package throttler

import (
	"math"
	"strconv"

	"fescuebank"
)

// partOf returns the part of a cold endpoint's rate that an instance of the fleet may use, 0 if it is no
// holder. The holders are the first by a rendezvous hash: all instances with the same members select the
// same ones.
func partOf(self fescuebank.InstanceID, members []fescuebank.InstanceID, tag fescuebank.EndpointTag, limit fescuebank.RequestRate, bounds fescuebank.ColdBounds) fescuebank.RequestRate {
	if limit <= 0 || len(members) == 0 {
		return 0
	}
	shared, holders := divide(min(limit, fescuebank.MaxRequestRate), bounds, len(members))
	key := "cold/" + strconv.FormatUint(uint64(tag), 10) + "/"
	if fescuebank.HashRank(key, self, members) >= holders {
		return 0
	}
	return shared / fescuebank.RequestRate(holders)
}

// divide returns the rate that the holders share and how many holders there are, so that in any second all
// together send at most limit x Overage + Slack, as far as a single holder can keep that. Each may save
// up one request: it sends at most its part and that one in a second, and only one if its part is at
// most one a second.
func divide(limit fescuebank.RequestRate, bounds fescuebank.ColdBounds, members int) (shared fescuebank.RequestRate, holders int) {
	most := float64(limit)*bounds.Overage + float64(bounds.Slack)
	rate := min(float64(limit), max(most-1, 0))
	holders = min(max(1, int(most-rate)), members)
	if single := int(math.Ceil(rate)); single <= members && float64(single) <= most {
		holders = max(holders, single)
	}
	return fescuebank.RequestRate(rate), holders
}
