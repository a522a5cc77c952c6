// Package scanner cuts a stream of server-sent events into whole events.
package scanner

import (
	"bytes"
	"strings"
)

// Scanner holds the bytes of an event that is not whole yet.
type Scanner struct {
	pending []byte
}

// Event is one event.
type Event struct {
	// ID is the event's number, empty if it has none.
	ID string
	// Data is the event's data, several lines separated by line feeds.
	Data []byte
}

var eventEnd = []byte("\n\n")

// Feed takes the next bytes of the stream and returns the whole events so far.
// The result is valid until the next call.
func (s *Scanner) Feed(p []byte) []byte {
	s.pending = append(s.pending, p...)
	i := bytes.LastIndex(s.pending, eventEnd)
	if i < 0 {
		return nil
	}
	end := i + len(eventEnd)
	whole := s.pending[:end:end]
	s.pending = append([]byte(nil), s.pending[end:]...)
	return whole
}

// Partial reports whether the stream stopped within an event.
func (s *Scanner) Partial() bool {
	return len(s.pending) > 0
}

// Events decodes whole events. Lines other than id and data are passed over.
func Events(whole []byte) []Event {
	var events []Event
	for _, block := range bytes.Split(whole, eventEnd) {
		if len(block) == 0 {
			continue
		}
		events = append(events, decode(block))
	}
	return events
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

// LastID returns the number of the last event that has one, or former.
func LastID(whole []byte, former string) string {
	i := bytes.LastIndex(whole, []byte("\nid:"))
	switch {
	case i >= 0:
		i += len("\nid:")
	case bytes.HasPrefix(whole, []byte("id:")):
		i = len("id:")
	default:
		return former
	}
	line, _, _ := bytes.Cut(whole[i:], []byte("\n"))
	return strings.TrimSpace(string(line))
}
