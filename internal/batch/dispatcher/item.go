package dispatcher

import (
	"fescuebank"
	"fescuebank/internal/batch/splitter"
	"fescuebank/internal/entry/parser"
)

// newCompletionRequest converts an item into a request. Each attempt gets a new request ID, so
// that a late response to an earlier attempt is recognized as such.
func newCompletionRequest(item fescuebank.PulledItem) (*fescuebank.CompletionRequest, fescuebank.BatchLine, error) {
	line, err := splitter.ParseLine(item.Line)
	if err != nil {
		return nil, line, err
	}
	c, _, err := parser.Parser{Chat: line.URL == splitter.PathChat}.Parse(line.Body)
	if err != nil {
		return nil, line, err
	}
	c.Request = fescuebank.RequestID(fescuebank.NewRandomID("item-"))
	c.Team = item.Team
	c.Class = fescuebank.Batch
	c.Resume = item.Resume
	return c, line, nil
}
