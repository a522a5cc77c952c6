// Package explainer gathers what the logs of several instances say of one request.
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
	// before and after are how far around the request's lines those about its
	// endpoints and team count.
	before = 3 * time.Second
	after  = time.Second
	// maxLineBytes bounds a line.
	maxLineBytes = 1 << 20
)

// Line is one line of a log.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Part     string    `json:"part"`
	Message  string    `json:"message"`
	// Fields are the others, as the line has them.
	Fields map[string]any `json:"fields"`
	// Related is set for lines that don't name the request itself.
	Related bool `json:"related,omitempty"`
}

// Explainer holds the lines read so far.
type Explainer struct {
	lines []Line
	// skipped is the number of lines that are none of the log.
	skipped int
}

// Read adds the lines of one log. Whatever stands before a line's first brace is
// passed over, so that logs with a prefix can be read.
func (e *Explainer) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scanner.Scan() {
		line, ok := decode(scanner.Text())
		if !ok {
			e.skipped++
			continue
		}
		e.lines = append(e.lines, line)
	}
	return scanner.Err()
}

// Skipped returns how many lines could not be read.
func (e *Explainer) Skipped() int {
	return e.skipped
}

func decode(text string) (Line, bool) {
	i := strings.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[i:]), &fields); err != nil {
		return Line{}, false
	}
	stamp, _ := fields["@timestamp"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return Line{}, false
	}
	line := Line{Time: at, Fields: fields}
	line.Message, _ = fields["@message"].(string)
	line.Part, _ = fields["@module"].(string)
	line.Instance, _ = fields["instance"].(string)
	for _, name := range []string{"@timestamp", "@message", "@module", "@level", "instance"} {
		delete(fields, name)
	}
	return line, true
}

// relatedFields name what a request depends on. Lines about them count if they
// fall close to the request's own.
var relatedFields = []string{"endpoint", "team"}

// decisions are messages that change what all requests meet.
var decisions = []string{
	"Configuration in force.", "List of owners applied.", "Store is lost.", "Store is back.",
	"Instance is silent.", "Instance leaves.", "Connections fell silent; all are made anew.", "Bucket begins.",
}

// Explain returns the lines that name id, as a value of any field, and those
// close to them that tell why, in order of time.
func (e *Explainer) Explain(id string) []Line {
	var story []Line
	var first, last time.Time
	related := make(map[string]bool)
	for _, l := range e.lines {
		if !l.names(id) {
			continue
		}
		story = append(story, l)
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
		for _, f := range relatedFields {
			if value, ok := l.Fields[f].(string); ok && value != "" {
				related[value] = true
			}
		}
	}
	if len(story) == 0 {
		return nil
	}
	instances := make(map[string]bool)
	for _, l := range story {
		instances[l.Instance] = true
	}
	for _, l := range e.lines {
		near := l.Time.After(first.Add(-before)) && l.Time.Before(last.Add(after))
		if near && !l.names(id) && l.concerns(related, instances) {
			l.Related = true
			story = append(story, l)
		}
	}
	sort.SliceStable(story, func(i, j int) bool { return story[i].Time.Before(story[j].Time) })
	return story
}

func (l Line) names(id string) bool {
	for _, value := range l.Fields {
		if text, ok := value.(string); ok && text == id {
			return true
		}
	}
	return false
}

// concerns reports whether a line tells of what a request depended on.
func (l Line) concerns(related, instances map[string]bool) bool {
	if _, other := l.Fields["request"]; other {
		return false
	}
	for _, value := range l.Fields {
		if text, ok := value.(string); ok && related[text] {
			return true
		}
	}
	return instances[l.Instance] && slices.Contains(decisions, l.Message)
}

// Write prints lines for people.
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
		if _, err := fmt.Fprintf(w, "%s %s %-22s %-20s %s%s\n", l.Time.Format("15:04:05.000"), mark, l.Instance, l.Part, l.Message, fields.String()); err != nil {
			return err
		}
	}
	return nil
}
