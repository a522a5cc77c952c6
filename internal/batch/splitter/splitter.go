// Package splitter reads JSONL uploads and splits them into chunks.
package splitter

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"io"
	"net/http"

	"fescuebank"
	"fescuebank/internal/entry/parser"
)

const (
	// maxLineBytes bounds one line.
	maxLineBytes = 512 << 10
	// maxChunkBytes and maxChunkItems bound a chunk before compression, so that its
	// stored form is smaller than the store's largest value even if it doesn't compress.
	maxChunkBytes = 768 << 10
	maxChunkItems = 1000
	// maxCustomIDBytes bounds a custom_id.
	maxCustomIDBytes = 256
)

// Paths that batch items may request.
const (
	PathCompletions = "/v1/completions"
	PathChat        = "/v1/chat/completions"
)

// Splitter splits one upload.
type Splitter struct {
	// lineOf holds the line number of each custom_id.
	lineOf map[string]int
	chunk  fescuebank.Chunk
	size   int
	items  int
	// totalSize is the size of all lines, newlines included.
	totalSize fescuebank.Bytes
	known     func(fescuebank.ModelName) bool
	flush     func(fescuebank.Chunk) error
	content   hash.Hash
}

// New returns a splitter that passes each chunk to flush, in order. known reports
// whether items may request a model.
func New(known func(fescuebank.ModelName) bool, flush func(fescuebank.Chunk) error) *Splitter {
	return &Splitter{lineOf: make(map[string]int), known: known, flush: flush, content: sha256.New()}
}

// Items returns the number of items read.
func (s *Splitter) Items() int {
	return s.items
}

// ContentHash returns the SHA-256 of the items read, in hexadecimal digits.
func (s *Splitter) ContentHash() string {
	return hex.EncodeToString(s.content.Sum(nil))
}

// Size returns the size of the lines read.
func (s *Splitter) Size() fescuebank.Bytes {
	return s.totalSize
}

// Split reads the upload to its end. For an invalid line it returns a *fescuebank.Refusal
// with the line's number, counted from 1.
func (s *Splitter) Split(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	number := 0
	for scanner.Scan() {
		number++
		line := bytes.TrimSpace(scanner.Bytes())
		s.totalSize += fescuebank.Bytes(len(scanner.Bytes()) + 1)
		if len(line) == 0 {
			continue
		}
		if err := s.add(number, line); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return s.readError(number+1, err)
	}
	if s.items == 0 {
		return badLine(1, "want at least one item")
	}
	return s.flushChunk()
}

func (s *Splitter) readError(number int, err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return badLine(number, "want at most %d bytes", maxLineBytes)
	case errors.As(err, &tooLarge):
		return fescuebank.Refuse(http.StatusRequestEntityTooLarge, fescuebank.CodeTooLarge, "the file is over %d bytes", tooLarge.Limit)
	}
	return fescuebank.Refuse(http.StatusBadRequest, fescuebank.CodeBadRequest, "the upload broke off")
}

func badLine(number int, format string, args ...any) error {
	return fescuebank.Refuse(http.StatusBadRequest, fescuebank.CodeBadRequest, "line %d: %s", number, fmt.Sprintf(format, args...))
}

func (s *Splitter) add(number int, line []byte) error {
	item, err := ParseLine(line)
	if err != nil {
		return badLine(number, "%v", err)
	}
	request, _, err := parser.Parser{Chat: item.URL == PathChat}.Parse(item.Body)
	if err != nil {
		return badLine(number, "body: %s", fescuebank.AsRefusal(err).Message)
	}
	if !s.known(request.Model) {
		return badLine(number, "unknown model %q", request.Model)
	}
	if first, duplicate := s.lineOf[item.CustomID]; duplicate {
		return badLine(number, "custom_id %q stands on line %d already", item.CustomID, first)
	}
	s.lineOf[item.CustomID] = number
	s.items++
	if s.items > fescuebank.MaxJobItems {
		return badLine(number, "want at most %d items", fescuebank.MaxJobItems)
	}
	if len(s.chunk.Lines) == maxChunkItems || s.size+len(line) > maxChunkBytes {
		if err := s.flushChunk(); err != nil {
			return err
		}
	}
	_, _ = s.content.Write(line)
	_, _ = s.content.Write([]byte{'\n'})
	s.chunk.Lines = append(s.chunk.Lines, bytes.Clone(line))
	s.size += len(line)
	return nil
}

func (s *Splitter) flushChunk() error {
	if len(s.chunk.Lines) == 0 {
		return nil
	}
	full := s.chunk
	s.chunk = fescuebank.Chunk{First: full.First + len(full.Lines)}
	s.size = 0
	return s.flush(full)
}

// ParseLine parses and validates one line of a job's input.
func ParseLine(line []byte) (fescuebank.BatchLine, error) {
	var item fescuebank.BatchLine
	if err := json.Unmarshal(line, &item); err != nil {
		return item, fmt.Errorf("want a JSON object: %w", err)
	}
	switch {
	case item.CustomID == "" || len(item.CustomID) > maxCustomIDBytes:
		return item, fmt.Errorf("want a custom_id of 1 to %d bytes", maxCustomIDBytes)
	case item.Method != "" && item.Method != http.MethodPost:
		return item, errors.New("want method POST")
	case item.URL != PathCompletions && item.URL != PathChat:
		return item, fmt.Errorf("want url %s or %s", PathCompletions, PathChat)
	case len(item.Body) == 0 || item.Body[0] != '{':
		return item, errors.New("want body to be a JSON object")
	}
	return item, nil
}
