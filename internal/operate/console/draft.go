package console

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"fescuebank"
)

// Kind is the kind of the entry of the desired state that a form edits.
type Kind string

// The kinds of entries.
const (
	KindTeam     Kind = "team"
	KindModel    Kind = "model"
	KindEndpoint Kind = "endpoint"
	KindService  Kind = "service"
)

// change is one change of a draft. Drafts are carried in the forms, so that the server
// keeps no state between requests.
type change struct {
	Kind   Kind   `json:"kind"`
	ID     string `json:"id"`
	Remove bool   `json:"remove,omitempty"`
	// Value is the new team, model, endpoint or service; it is empty if Remove is set.
	Value json.RawMessage `json:"value,omitempty"`
}

// draft is a list of changes based on one generation of the desired state.
type draft struct {
	Generation fescuebank.Generation `json:"generation"`
	Changes    []change              `json:"changes"`
}

func parseDraft(text string) (draft, error) {
	var d draft
	if text == "" {
		return d, nil
	}
	err := json.Unmarshal([]byte(text), &d)
	return d, err
}

// String returns the draft as the value of a form field.
func (d draft) String() string {
	text, _ := json.Marshal(d) // Raw values were decoded from JSON, so encoding can't fail.
	return string(text)
}

// with returns the draft with one more change, which replaces an earlier change of the
// same entry.
func (d draft) with(c change) draft {
	d.Changes = slices.DeleteFunc(slices.Clone(d.Changes), func(old change) bool { return old.Kind == c.Kind && old.ID == c.ID })
	d.Changes = append(d.Changes, c)
	return d
}

// apply returns the desired state that results from applying the draft to state.
func (d draft) apply(state *fescuebank.DesiredState) (*fescuebank.DesiredState, error) {
	next := *state
	next.Generation = d.Generation
	var err error
	for _, c := range d.Changes {
		switch c.Kind {
		case KindTeam:
			next.Teams, err = edit(next.Teams, c, func(t fescuebank.Team) string { return string(t.ID) })
		case KindModel:
			next.Models, err = edit(next.Models, c, func(m fescuebank.Model) string { return string(m.Name) })
		case KindEndpoint:
			next.Endpoints, err = edit(next.Endpoints, c, func(e fescuebank.EndpointSpec) string { return string(e.ID) })
		case KindService:
			next.Services, err = edit(next.Services, c, func(s fescuebank.Service) string { return string(s.Name) })
		}
		if err != nil {
			return nil, err
		}
	}
	next.Defaults()
	return &next, nil
}

// edit replaces, adds or removes the entry that a change refers to.
func edit[T any](list []T, c change, id func(T) string) ([]T, error) {
	list = slices.Clone(list)
	at := slices.IndexFunc(list, func(entry T) bool { return id(entry) == c.ID })
	if c.Remove {
		if at >= 0 {
			list = slices.Delete(list, at, at+1)
		}
		return list, nil
	}
	var entry T
	if err := json.Unmarshal(c.Value, &entry); err != nil {
		return nil, err
	}
	if at >= 0 {
		list[at] = entry
		return list, nil
	}
	return append(list, entry), nil
}

// parseChange parses a submitted form. Fields with invalid numbers are reported as
// faults.
func parseChange(form url.Values, state *fescuebank.DesiredState) (change, *fescuebank.Faults) {
	c := change{Kind: Kind(form.Get("kind")), ID: strings.TrimSpace(form.Get("id")), Remove: form.Get("remove") != ""}
	if c.Remove {
		return c, nil
	}
	f := &fescuebank.Faults{}
	var value any
	switch c.Kind {
	case KindTeam:
		value = parseTeam(form, c.ID, state, f)
	case KindModel:
		value = fescuebank.Model{
			Name: fescuebank.ModelName(c.ID), Version: form.Get("version"), Adapters: splitWords[string](form.Get("adapters")), Replicas: int(parseNumber(form, "replicas", f)),
		}
	case KindEndpoint:
		value = fescuebank.EndpointSpec{
			ID: fescuebank.EndpointID(c.ID), URL: form.Get("url"), Zone: fescuebank.Zone(form.Get("zone")), Models: splitWords[fescuebank.ModelName](form.Get("models")),
			Slots: int(parseNumber(form, "slots", f)), Fencing: fescuebank.FencingMode(form.Get("fencing")), Leaving: form.Get("leaving") != "",
		}
	case KindService:
		value = fescuebank.Service{
			Name: fescuebank.ServiceName(c.ID), URLs: splitWords[string](form.Get("urls")), Repeatable: form.Get("repeatable") != "", Open: form.Get("open") != "",
			Timeout: fescuebank.Seconds(parseNumber(form, "timeoutSeconds", f)),
		}
	default:
		f.Add("kind", "want team, model, endpoint or service")
	}
	if len(f.List) > 0 {
		return c, f
	}
	c.Value, _ = json.Marshal(value) // All numbers are finite, so encoding can't fail.
	return c, nil
}

// parseTeam parses the form of a team. An existing team keeps its keys.
func parseTeam(form url.Values, id string, state *fescuebank.DesiredState, f *fescuebank.Faults) fescuebank.Team {
	t := fescuebank.Team{
		ID: fescuebank.TeamID(id), Rate: fescuebank.RequestRate(parseNumber(form, "rate", f)), Burst: fescuebank.Requests(parseNumber(form, "burst", f)),
		Weight: parseNumber(form, "weight", f), Models: splitWords[fescuebank.ModelName](form.Get("models")), Keys: []fescuebank.TeamKey{},
	}
	for _, old := range state.Teams {
		if old.ID == t.ID {
			t.Keys = old.Keys
		}
	}
	return t
}

// parseNumber parses a finite number; an empty field is 0.
func parseNumber(form url.Values, field string, f *fescuebank.Faults) float64 {
	text := strings.TrimSpace(form.Get(field))
	if text == "" {
		return 0
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || n-n != 0 {
		f.Add(field, "want a number, not %q", text)
		return 0
	}
	return n
}

// splitWords splits a list at commas, spaces and line breaks.
func splitWords[T ~string](text string) []T {
	var list []T
	for _, word := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' || r == '\n' || r == '\r' }) {
		list = append(list, T(word))
	}
	return list
}

// diffLine is one line of a diff. Sign is "+" or "-".
type diffLine struct {
	Sign string
	Text string
}

// diff returns the entries that differ between two desired states, as lines of JSON.
func diff(before, after *fescuebank.DesiredState) []diffLine {
	var lines []diffLine
	lines = append(lines, diffList("team", before.Teams, after.Teams, func(t fescuebank.Team) string { return string(t.ID) })...)
	lines = append(lines, diffList("model", before.Models, after.Models, func(m fescuebank.Model) string { return string(m.Name) })...)
	lines = append(lines, diffList("endpoint", before.Endpoints, after.Endpoints, func(e fescuebank.EndpointSpec) string { return string(e.ID) })...)
	lines = append(lines, diffList("service", before.Services, after.Services, func(s fescuebank.Service) string { return string(s.Name) })...)
	return lines
}

func diffList[T any](kind string, before, after []T, id func(T) string) []diffLine {
	previous := make(map[string][]byte, len(before))
	for _, entry := range before {
		previous[id(entry)], _ = json.Marshal(entry)
	}
	var lines []diffLine
	for _, entry := range after {
		current, _ := json.Marshal(entry)
		old, existed := previous[id(entry)]
		delete(previous, id(entry))
		if existed && bytes.Equal(old, current) {
			continue
		}
		if existed {
			lines = append(lines, diffLine{"-", fmt.Sprintf("%s %s", kind, old)})
		}
		lines = append(lines, diffLine{"+", fmt.Sprintf("%s %s", kind, current)})
	}
	for _, entry := range before {
		if old, removed := previous[id(entry)]; removed {
			lines = append(lines, diffLine{"-", fmt.Sprintf("%s %s", kind, old)})
		}
	}
	return lines
}
