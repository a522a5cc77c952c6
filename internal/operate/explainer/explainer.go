// Package explainer finds the lines about one request in the logs of several instances.
package explainer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"
)

const (
	// relatedBefore and relatedAfter bound the time before the first and after the
	// last line of the request in which related lines are included.
	relatedBefore = 3 * time.Second
	relatedAfter  = time.Second
	// maxLineBytes bounds the length of a line.
	maxLineBytes = 1 << 20
)

// Line is one log line.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Module   string    `json:"part"`
	Message  string    `json:"message"`
	// Fields holds the remaining fields of the line.
	Fields map[string]any `json:"fields"`
	// Related is set if the line doesn't name the request itself.
	Related bool `json:"related,omitempty"`
}

// Explainer holds the lines read so far.
type Explainer struct {
	lines []Line
	// skipped is the number of lines that are not log lines in JSON.
	skipped int
}

// Read adds the lines of one log. It ignores the text before the first brace of a line, so
// that it can read logs whose lines have a prefix.
func (e *Explainer) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text())
		if !ok {
			e.skipped++
			continue
		}
		e.lines = append(e.lines, line)
	}
	return scanner.Err()
}

// Skipped returns the number of lines that could not be parsed.
func (e *Explainer) Skipped() int {
	return e.skipped
}

func parseLine(text string) (Line, bool) {
	i := strings.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[i:]), &fields); err != nil {
		return Line{}, false
	}
	timestamp, _ := fields["@timestamp"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil {
		return Line{}, false
	}
	line := Line{Time: at, Fields: fields}
	line.Message, _ = fields["@message"].(string)
	line.Module, _ = fields["@module"].(string)
	line.Instance, _ = fields["instance"].(string)
	for _, name := range []string{"@timestamp", "@message", "@module", "@level", "instance"} {
		delete(fields, name)
	}
	return line, true
}

// relatedFields are the fields that name what a request depends on. Lines with the same
// values are included if they are close in time to those of the request.
var relatedFields = []string{"endpoint", "team"}

// instanceEvents are the messages about events that affect all requests of an instance.
// They must equal the messages in the code that logs them, and stay the same so that logs
// of older builds can be read.
var instanceEvents = []string{
	"Configuration in force.", "List of owners applied.", "Store is lost.", "Store is back.",
	"Instance is silent.", "Instance leaves.", "Connections fell silent; all are made anew.", "Bucket begins.",
}

// Explain returns the lines that have id as the value of any field, and the related lines
// close to them, sorted by time.
func (e *Explainer) Explain(id string) []Line {
	var result []Line
	var first, last time.Time
	relatedValues := make(map[string]bool)
	for _, l := range e.lines {
		if !l.hasValue(id) {
			continue
		}
		result = append(result, l)
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
		for _, f := range relatedFields {
			if value, ok := l.Fields[f].(string); ok && value != "" {
				relatedValues[value] = true
			}
		}
	}
	if len(result) == 0 {
		return nil
	}
	instances := make(map[string]bool)
	for _, l := range result {
		instances[l.Instance] = true
	}
	for _, l := range e.lines {
		near := l.Time.After(first.Add(-relatedBefore)) && l.Time.Before(last.Add(relatedAfter))
		if near && !l.hasValue(id) && l.isRelated(relatedValues, instances) {
			l.Related = true
			result = append(result, l)
		}
	}
	sort.SliceStable(result, func(i, j int) bool { return result[i].Time.Before(result[j].Time) })
	return result
}

// hasValue reports whether any field of the line has the value id.
func (l Line) hasValue(id string) bool {
	for _, value := range l.Fields {
		if text, ok := value.(string); ok && text == id {
			return true
		}
	}
	return false
}

// isRelated reports whether a line is about an endpoint or team that a request depended on, or
// about an event of an instance that handled the request.
func (l Line) isRelated(relatedValues, instances map[string]bool) bool {
	if _, ok := l.Fields["request"]; ok { // The line is about another request.
		return false
	}
	for _, value := range l.Fields {
		if text, ok := value.(string); ok && relatedValues[text] {
			return true
		}
	}
	return instances[l.Instance] && slices.Contains(instanceEvents, l.Message)
}

// Write prints lines in a readable form. Related lines are marked with a tilde.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		mark := " "
		if l.Related {
			mark = "~"
		}
		names := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			names = append(names, name)
		}
		sort.Strings(names)
		var fields strings.Builder
		for _, name := range names {
			fmt.Fprintf(&fields, " %s=%v", name, l.Fields[name])
		}
		if _, err := fmt.Fprintf(w, "%s %s %-22s %-20s %s%s\n", l.Time.Format("15:04:05.000"), mark, l.Instance, l.Module, l.Message, fields.String()); err != nil {
			return err
		}
	}
	return nil
}
