package scanner_test

import (
	"errors"
	"io"
	"testing"

	"fescuebank/internal/endpoint/scanner"
)

// TestStreamIsAcceptedUpToTheFirstFault guards against text that is taken for events because of how it is cut into reads.
func TestStreamIsAcceptedUpToTheFirstFault(t *testing.T) {
	for _, tt := range []struct {
		name, last, text string
		// accepted is the text up to the fault, with some events; err is the fault, and end what End returns if there is none.
		accepted string
		events   int
		err, end error
	}{
		{"a stream", "", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, nil, nil},
		{"fields in another order", "", "x-a: 3\ndata: a\nid:1\n\n", "x-a: 3\ndata: a\nid:1\n\n", 1, nil, nil},
		{"a stream that goes on", "4", "id: 5\ndata: a\n\n", "id: 5\ndata: a\n\n", 1, nil, nil},
		{"nothing after the last event", "4", "", "", 0, nil, nil},
		{"nothing at all", "", "", "", 0, nil, io.ErrUnexpectedEOF},
		{"comments only", "", ": a\n\n", ": a\n\n", 0, nil, io.ErrUnexpectedEOF},
		{"part of an event", "4", "id: 5\ndata: a\n", "", 0, nil, io.ErrUnexpectedEOF},
		{"a repetition", "4", "id: 4\ndata: a\n\n", "", 0, scanner.ErrOrder, nil},
		{"a gap", "4", "id: 5\ndata: a\n\nid: 7\ndata: b\n\n", "id: 5\ndata: a\n\n", 1, scanner.ErrOrder, nil},
		{"an id that is no number", "4", "id: a\ndata: a\n\n", "", 0, scanner.ErrOrder, nil},
		{"no id", "", "data: a\n\n", "", 0, scanner.ErrOrder, nil},
		{"an error's text", "", "out of memory\n\n", "", 0, scanner.ErrNoEvent, nil},
		{"a head", "", "HTTP/1.1 200 OK\r\nA: b\r\n\r\nid: 1\ndata: a\n\n", "", 0, scanner.ErrNoEvent, nil},
	} {
		for size := 1; size <= len(tt.text)+1; size++ {
			s := scanner.New(tt.last)
			var accepted []byte
			events := 0
			for rest := []byte(tt.text); len(rest) > 0; {
				n := min(size, len(rest))
				complete, count := s.Feed(rest[:n])
				accepted, events, rest = append(accepted, complete...), events+count, rest[n:]
			}
			if string(accepted) != tt.accepted || events != tt.events || !errors.Is(s.Err(), tt.err) {
				t.Errorf("%s, %d bytes at a time: got %q, %d events, error %v, want %q, %d, %v", tt.name, size, accepted, events, s.Err(), tt.accepted, tt.events, tt.err)
			}
			if tt.err == nil && !errors.Is(s.End(false), tt.end) {
				t.Errorf("%s, %d bytes at a time: got %v at the end, want %v", tt.name, size, s.End(false), tt.end)
			}
		}
	}
}
