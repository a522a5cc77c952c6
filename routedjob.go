package fescuebank

import "time"

// RoutedItem is one item of a RoutedJob.
type RoutedItem struct {
	// ID is unique in the job and identifies the item to endpoints.
	ID string `cbor:"1,keyasint"`
	// Target is the path at the endpoint.
	Target string            `cbor:"2,keyasint"`
	Header map[string]string `cbor:"3,keyasint"`
	Body   []byte            `cbor:"4,keyasint"`
	// Tokens is the length of the prompt plus the largest number of tokens to
	// generate.
	Tokens Tokens `cbor:"5,keyasint"`
}

// RoutedJob is a batch job that was submitted on a route. It is immutable.
type RoutedJob struct {
	ID    JobID  `cbor:"1,keyasint"`
	Team  TeamID `cbor:"2,keyasint"`
	Route string `cbor:"3,keyasint"`
	Host  string `cbor:"4,keyasint"`
	// Path is where the job was submitted; it selects the route.
	Path string `cbor:"5,keyasint"`
	// Submitted is when the job was first received.
	Submitted time.Time    `cbor:"6,keyasint"`
	Items     []RoutedItem `cbor:"7,keyasint"`
}

// Tokens returns the sum of the items' tokens.
func (j *RoutedJob) Tokens() Tokens {
	var sum Tokens
	for i := range j.Items {
		sum += j.Items[i].Tokens
	}
	return sum
}

// RoutedResult is the outcome of an item. Its position in the results never changes.
type RoutedResult struct {
	Item string `cbor:"1,keyasint"`
	// Failed is set for an item that failed permanently.
	Failed bool `cbor:"2,keyasint,omitempty"`
	// Output is the data of all events in order, separated by line feeds.
	Output []byte `cbor:"3,keyasint,omitempty"`
}

// ResultPage is a part of a job's results.
type ResultPage struct {
	// Total is the number of the job's items.
	Total   int            `cbor:"1,keyasint"`
	Results []RoutedResult `cbor:"2,keyasint,omitempty"`
}

// Progress is the part of an item's output generated so far.
type Progress struct {
	// Events is the number of events received.
	Events int
	// Last is the id of the last event, empty if there is none.
	Last string
	// Output is the data of the events, separated by line feeds.
	Output []byte
}
