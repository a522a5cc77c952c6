package allocator_test

import "slices"

// simulatedEndpoint runs up to slots requests and queues the others in order of arrival.
type simulatedEndpoint struct {
	running int
	slots   int
	queue   []*arrival
}

// arrival is one request at an endpoint. It is started when a slot is free.
type arrival struct {
	start   func()
	started bool
}

// arrive starts a request, or queues it. The caller holds the fleet's lock.
func (e *simulatedEndpoint) arrive(a *arrival) {
	e.queue = append(e.queue, a)
	e.startNext()
}

func (e *simulatedEndpoint) startNext() {
	for e.running < e.slots && len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		next.started = true
		next.start()
	}
}

func (e *simulatedEndpoint) leave(a *arrival) {
	if !a.started {
		e.queue = slices.DeleteFunc(e.queue, func(q *arrival) bool { return q == a })
		return
	}
	e.running--
	e.startNext()
}
