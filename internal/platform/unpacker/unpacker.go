// Package unpacker splits JSON documents into their parts without decoding these, so that one odd part, such as an entry
// that is nested too deeply to be decoded, doesn't spoil the rest of its page.
package unpacker

import (
	"bytes"
	"encoding/json"
	"errors"
)

// ErrSyntax means that a document isn't an object or an array, or is incomplete.
var ErrSyntax = errors.New("not a JSON document of the wanted form")

// Fields returns the values of the fields of a JSON object, not decoded. Values are only valid JSON if the
// document is.
func Fields(document []byte) (map[string]json.RawMessage, error) {
	fields := make(map[string]json.RawMessage)
	d, ok := begin(document, '{')
	if !ok {
		return nil, ErrSyntax
	}
	for !d.end('}') {
		var name string
		if json.Unmarshal(d.value(), &name) != nil || !d.take(':') {
			return nil, ErrSyntax
		}
		value := d.value()
		if len(value) == 0 || !d.separate('}') {
			return nil, ErrSyntax
		}
		fields[name] = value
	}
	return fields, nil
}

// Elements returns the elements of a JSON array, not decoded.
func Elements(document []byte) ([]json.RawMessage, error) {
	d, ok := begin(document, '[')
	if !ok {
		return nil, ErrSyntax
	}
	var elements []json.RawMessage
	for !d.end(']') {
		value := d.value()
		if len(value) == 0 || !d.separate(']') {
			return nil, ErrSyntax
		}
		elements = append(elements, value)
	}
	return elements, nil
}

// document is the rest of a document that is being split.
type document struct {
	rest []byte
}

func begin(b []byte, opening byte) (*document, bool) {
	d := &document{rest: b}
	return d, d.take(opening)
}

// take skips white space and the next byte if it is the wanted one, and reports whether it is.
func (d *document) take(want byte) bool {
	d.rest = bytes.TrimLeft(d.rest, " \t\r\n")
	if len(d.rest) == 0 || d.rest[0] != want {
		return false
	}
	d.rest = d.rest[1:]
	return true
}

// end is take for the end of the object or array.
func (d *document) end(closing byte) bool {
	return d.take(closing)
}

// separate skips the comma after a value, unless the object or array ends there. It reports whether either follows.
func (d *document) separate(closing byte) bool {
	if d.take(',') {
		return true
	}
	d.rest = bytes.TrimLeft(d.rest, " \t\r\n")
	return len(d.rest) > 0 && d.rest[0] == closing
}

// value returns the next value, empty if there is none that is complete.
func (d *document) value() []byte {
	d.rest = bytes.TrimLeft(d.rest, " \t\r\n")
	length := valueLength(d.rest)
	value := d.rest[:length:length]
	d.rest = d.rest[length:]
	return value
}

// valueLength returns the length of the value with which b begins, 0 if it is incomplete.
func valueLength(b []byte) int {
	depth := 0
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '"':
			length := stringLength(b[i:])
			if length == 0 {
				return 0
			}
			i += length - 1
		case '[', '{':
			depth++
			continue
		case ']', '}':
			if depth == 0 {
				return i // The end of what a number or literal stands in.
			}
			depth--
		case ',', ':', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return i
			}
			continue
		default:
			continue
		}
		if depth == 0 {
			return i + 1
		}
	}
	return 0
}

// stringLength returns the length of the string with which b begins, 0 if it is incomplete.
func stringLength(b []byte) int {
	for i := 1; i < len(b); i++ {
		switch b[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return 0
}
