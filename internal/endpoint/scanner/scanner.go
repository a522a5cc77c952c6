// Package scanner splits the event stream of an endpoint into events, and checks that they belong to one
// stream.
package scanner

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds an event.
const maxEventBytes = 256 << 10

// Errors of a stream. The rest of it is no use.
var (
	// ErrTooLong means that a stream contains an event that is longer than any valid one.
	ErrTooLong = errors.New("event too long")
	// ErrOrder means that an event doesn't directly follow the last one.
	ErrOrder = errors.New("event out of order")
	// ErrNoEvent means that a stream contains text that is neither an event nor a comment, such as the head or
	// the body of another response.
	ErrNoEvent = errors.New("no event")
)

// Scanner follows one stream, which may come from several endpoints, one response after the other.
type Scanner struct {
	// last is the id of the last event, empty if there was none or its number is not known.
	last string
	// known is set once an event is known, from this response or an earlier one.
	known bool
	// scanned is set once this response has brought an event.
	scanned bool
	// pending are the bytes of an incomplete block.
	pending []byte
	err     error
}

// New returns a scanner of a response that continues the stream after the event with the id last. An empty last means
// that the stream begins.
func New(last string) *Scanner {
	s := &Scanner{known: last != ""}
	if _, err := strconv.ParseInt(last, 10, 64); err == nil {
		s.last = last
	}
	return s
}

var blockEnd = []byte("\n\n")

// Feed adds the next bytes of the stream. It returns the blocks completed by them, still encoded, up to the
// first one that is out of place, and the number of events among them; the others are comments. The result is valid
// until the next call.
func (s *Scanner) Feed(p []byte) (complete []byte, events int) {
	if s.err != nil {
		return nil, 0
	}
	// The bytes fed before contain no end of a block, but may end within one.
	searched := max(0, len(s.pending)-len(blockEnd)+1)
	s.pending = append(s.pending, p...)
	i := bytes.LastIndex(s.pending[searched:], blockEnd)
	if i < 0 {
		s.limitPending()
		return nil, 0
	}
	end := searched + i + len(blockEnd)
	complete = s.pending[:end:end]
	s.pending = append([]byte(nil), s.pending[end:]...)
	s.limitPending()
	return s.accept(complete)
}

// limitPending records an incomplete block that is too long.
func (s *Scanner) limitPending() {
	if len(s.pending) > maxEventBytes {
		s.err = ErrTooLong
	}
}

// accept returns the leading blocks that are in place, and the number of events among them.
func (s *Scanner) accept(complete []byte) (accepted []byte, events int) {
	for rest := complete; len(rest) > 0; {
		i := bytes.Index(rest, blockEnd)
		isEvent, err := s.acceptBlock(rest[:i])
		if err != nil {
			s.err = err
			return complete[:len(complete)-len(rest)], events
		}
		if isEvent {
			events++
		}
		rest = rest[i+len(blockEnd):]
	}
	return complete, events
}

// acceptBlock checks a block between two empty lines, and reports whether it is an event.
func (s *Scanner) acceptBlock(block []byte) (isEvent bool, err error) {
	id, hasFields, err := parseFields(block)
	if err != nil || !hasFields {
		return false, err
	}
	if !s.follows(id) {
		return false, ErrOrder
	}
	s.last, s.known, s.scanned = string(id), true, true
	return true, nil
}

// follows reports whether the event with an id directly follows the last one.
func (s *Scanner) follows(id []byte) bool {
	next, err := strconv.ParseInt(string(id), 10, 64)
	if err != nil {
		return false
	}
	last, err := strconv.ParseInt(s.last, 10, 64)
	return err != nil || next == last+1 // There is no last event that is known.
}

// parseFields returns the id field of a block and whether the block has any field. It fails if a line is neither a field nor
// a comment.
func parseFields(block []byte) (id []byte, hasFields bool, err error) {
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !isFieldName(name) || bytes.IndexByte(value, '\r') >= 0 {
			return nil, false, ErrNoEvent
		}
		hasFields = true
		if string(name) == "id" {
			id = bytes.TrimSpace(value)
		}
	}
	return id, hasFields, nil
}

// isFieldName reports whether b can be the name of an event's field. The lines of a response's head can't.
func isFieldName(b []byte) bool {
	for _, c := range b {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// Err returns why the rest of the stream is no use, or nil.
func (s *Scanner) Err() error {
	return s.err
}

// LastID returns the id of the last event of the stream, empty if none is known.
func (s *Scanner) LastID() string {
	return s.last
}

// End checks whether the stream is complete when the response has ended. It returns io.ErrUnexpectedEOF if the endpoint has stopped
// within an event or before the first one. A response whose end only shows in the end of its connection may have been
// broken off at once, so it must have brought an event.
func (s *Scanner) End(closeDelimited bool) error {
	if len(s.pending) > 0 || !s.known || (closeDelimited && !s.scanned) {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// Event is one event.
type Event struct {
	// ID is the event's id field, empty if it has none.
	ID string
	// Data is the event's data; multiple lines are separated by line feeds.
	Data []byte
}

// Events decodes complete events. Comments, and fields other than id and data, are ignored.
func Events(complete []byte) []Event {
	var events []Event
	for _, block := range bytes.Split(complete, blockEnd) {
		if !isComment(block) {
			events = append(events, decode(block))
		}
	}
	return events
}

// isComment reports whether a block between two empty lines has no field of an event.
func isComment(block []byte) bool {
	for _, line := range bytes.Split(block, []byte("\n")) {
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

func decode(block []byte) Event {
	var e Event
	lines := 0
	for _, line := range bytes.Split(block, []byte("\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.ID = string(value)
		case "data":
			if lines > 0 {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, value...)
			lines++
		}
	}
	return e
}
