// Package scanner splits a stream of server-sent events into events.
package scanner

import (
	"bytes"
	"errors"
	"strings"
)

// maxEventBytes bounds an event.
const maxEventBytes = 256 << 10

// ErrTooLong means that a stream contains an event that is longer than any valid one.
var ErrTooLong = errors.New("event too long")

// Scanner buffers the bytes of an incomplete event.
type Scanner struct {
	pending []byte
}

// Event is one event.
type Event struct {
	// ID is the event's id field, empty if it has none.
	ID string
	// Data is the event's data; multiple lines are separated by line feeds.
	Data []byte
}

var eventEnd = []byte("\n\n")

// Feed adds the next bytes of the stream and returns the events completed by them, still
// encoded. The result is valid until the next call.
func (s *Scanner) Feed(p []byte) []byte {
	// The bytes fed before contain no end of an event, but may end within one.
	searched := max(0, len(s.pending)-len(eventEnd)+1)
	s.pending = append(s.pending, p...)
	i := bytes.LastIndex(s.pending[searched:], eventEnd)
	if i < 0 {
		return nil
	}
	end := searched + i + len(eventEnd)
	complete := s.pending[:end:end]
	s.pending = append([]byte(nil), s.pending[end:]...)
	return complete
}

// Partial reports whether the stream so far ends within an event.
func (s *Scanner) Partial() bool {
	return len(s.pending) > 0
}

// Err returns ErrTooLong if the incomplete event is too long, so that the rest of the stream is no
// use.
func (s *Scanner) Err() error {
	if len(s.pending) > maxEventBytes {
		return ErrTooLong
	}
	return nil
}

// Count returns the number of complete events.
func Count(complete []byte) int {
	return bytes.Count(complete, eventEnd)
}

// Events decodes complete events. Comments, and fields other than id and data, are ignored.
func Events(complete []byte) []Event {
	var events []Event
	for _, block := range bytes.Split(complete, eventEnd) {
		if !isComment(block) {
			events = append(events, decode(block))
		}
	}
	return events
}

// OnlyComments reports whether there is no event among the complete ones.
func OnlyComments(complete []byte) bool {
	for _, block := range bytes.Split(complete, eventEnd) {
		if !isComment(block) {
			return false
		}
	}
	return true
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

// LastID returns the id of the last event that has one, or previous if none has.
func LastID(complete []byte, previous string) string {
	i := bytes.LastIndex(complete, []byte("\nid:"))
	switch {
	case i >= 0:
		i += len("\nid:")
	case bytes.HasPrefix(complete, []byte("id:")):
		i = len("id:")
	default:
		return previous
	}
	line, _, _ := bytes.Cut(complete[i:], []byte("\n"))
	return strings.TrimSpace(string(line))
}
