package dispatcher

import (
	"fescuebank"
	"fescuebank/internal/batch/splitter"
	"fescuebank/internal/entry/parser"
)

// completionOf turns an item into a request. The request's id names the item
// and the attempt, so that a late answer of a former attempt is told apart.
func completionOf(item fescuebank.PulledItem) (*fescuebank.Completion, fescuebank.BatchLine, error) {
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
	c.Work = fescuebank.Batch
	c.Resume = item.Resume
	return c, line, nil
}
