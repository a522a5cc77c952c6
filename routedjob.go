package fescuebank

import "time"

// RoutedItem is one item of a batch job that came on a route.
type RoutedItem struct {
	// ID is unique in the job and names the item at endpoints.
	ID string `cbor:"1,keyasint"`
	// Target is the path at the endpoint.
	Target string            `cbor:"2,keyasint"`
	Header map[string]string `cbor:"3,keyasint"`
	Body   []byte            `cbor:"4,keyasint"`
	// Tokens are those of the prompt and the most to generate.
	Tokens Tokens `cbor:"5,keyasint"`
}

// RoutedJob is a batch job that came on a route. It never changes.
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

// Tokens returns the sum over the items.
func (j *RoutedJob) Tokens() Tokens {
	var sum Tokens
	for i := range j.Items {
		sum += j.Items[i].Tokens
	}
	return sum
}

// RoutedResult is the outcome of an item at its fixed position.
type RoutedResult struct {
	Item string `cbor:"1,keyasint"`
	// Failed is set for an item that was given up.
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

// Progress is what was generated of an item's output.
type Progress struct {
	// Events is the number of events received.
	Events int
	// Last is the number of the last one, empty if there is none.
	Last string
	// Output is their data, separated by line feeds.
	Output []byte
}
