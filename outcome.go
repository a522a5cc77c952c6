package fescuebank

// Outcomes holds the numbers of requests that an endpoint served (Good) and
// failed (Bad).
type Outcomes struct {
	_    struct{} `cbor:",toarray"`
	Good int
	Bad  int
}

// Add adds other to o.
func (o *Outcomes) Add(other Outcomes) {
	o.Good += other.Good
	o.Bad += other.Bad
}

// FailureRatio returns the share of the requests that failed, 0 to 1; 0 without requests.
func (o Outcomes) FailureRatio() float64 {
	if o.Good+o.Bad == 0 {
		return 0
	}
	return float64(o.Bad) / float64(o.Good+o.Bad)
}

// Ejection states for how long an instance has ejected an endpoint.
type Ejection struct {
	_ struct{} `cbor:",toarray"`
	// LeftMs is the remaining and LengthMs the whole duration, in milliseconds.
	LeftMs   int64
	LengthMs int64
}

// OutcomeCounts holds the outcomes of each endpoint.
type OutcomeCounts map[EndpointTag]Outcomes

// Sum returns the outcomes at all endpoints.
func (c OutcomeCounts) Sum() Outcomes {
	var sum Outcomes
	for _, o := range c {
		sum.Add(o)
	}
	return sum
}

// Record counts the outcome of one request.
func (c OutcomeCounts) Record(tag EndpointTag, good bool) {
	o := c[tag]
	if good {
		o.Good++
	} else {
		o.Bad++
	}
	c[tag] = o
}

// Add adds other to c.
func (c OutcomeCounts) Add(other OutcomeCounts) {
	for tag, o := range other {
		sum := c[tag]
		sum.Add(o)
		c[tag] = sum
	}
}
