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

// Kind names a part of the desired state that a form edits.
type Kind string

// The kinds of changes.
const (
	KindTeam     Kind = "team"
	KindModel    Kind = "model"
	KindEndpoint Kind = "endpoint"
	KindService  Kind = "service"
)

// change is one edit of the draft. It travels in the forms, so that the server
// keeps no state between pages.
type change struct {
	Kind   Kind   `json:"kind"`
	ID     string `json:"id"`
	Remove bool   `json:"remove,omitempty"`
	// Value is the new team, model, endpoint or service, unless Remove.
	Value json.RawMessage `json:"value,omitempty"`
}

// draft is a list of changes to one generation.
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

// String is the form field that carries the draft.
func (d draft) String() string {
	text, _ := json.Marshal(d) // Raw values came from JSON.
	return string(text)
}

// with returns the draft with one more change; it replaces an earlier one of
// the same thing.
func (d draft) with(c change) draft {
	d.Changes = slices.DeleteFunc(slices.Clone(d.Changes), func(old change) bool { return old.Kind == c.Kind && old.ID == c.ID })
	d.Changes = append(d.Changes, c)
	return d
}

// apply returns the document that the draft makes of a state.
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

// edit replaces, adds or removes the entry that a change is about.
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

// readChange turns a submitted form into a change. What is not a number is
// reported by its field.
func readChange(form url.Values, state *fescuebank.DesiredState) (change, *fescuebank.Faults) {
	c := change{Kind: Kind(form.Get("kind")), ID: strings.TrimSpace(form.Get("id")), Remove: form.Get("remove") != ""}
	if c.Remove {
		return c, nil
	}
	f := &fescuebank.Faults{}
	var value any
	switch c.Kind {
	case KindTeam:
		value = readTeam(form, c.ID, state, f)
	case KindModel:
		value = fescuebank.Model{
			Name: fescuebank.ModelName(c.ID), Version: form.Get("version"), Adapters: words[string](form.Get("adapters")), Replicas: int(number(form, "replicas", f)),
		}
	case KindEndpoint:
		value = fescuebank.EndpointSpec{
			ID: fescuebank.EndpointID(c.ID), URL: form.Get("url"), Zone: fescuebank.Zone(form.Get("zone")), Models: words[fescuebank.ModelName](form.Get("models")),
			Slots: int(number(form, "slots", f)), Fencing: fescuebank.FencingMode(form.Get("fencing")), Leaving: form.Get("leaving") != "",
		}
	case KindService:
		value = fescuebank.Service{
			Name: fescuebank.ServiceName(c.ID), URLs: words[string](form.Get("urls")), Repeatable: form.Get("repeatable") != "", Open: form.Get("open") != "",
			Timeout: fescuebank.Seconds(number(form, "timeoutSeconds", f)),
		}
	default:
		f.Add("kind", "want team, model, endpoint or service")
	}
	if len(f.List) > 0 {
		return c, f
	}
	c.Value, _ = json.Marshal(value) // Checked numbers have a JSON form.
	return c, nil
}

// readTeam keeps the keys of a team that exists.
func readTeam(form url.Values, id string, state *fescuebank.DesiredState, f *fescuebank.Faults) fescuebank.Team {
	t := fescuebank.Team{
		ID: fescuebank.TeamID(id), Rate: fescuebank.RequestRate(number(form, "rate", f)), Burst: fescuebank.Requests(number(form, "burst", f)),
		Weight: number(form, "weight", f), Models: words[fescuebank.ModelName](form.Get("models")), Keys: []fescuebank.TeamKey{},
	}
	for _, old := range state.Teams {
		if old.ID == t.ID {
			t.Keys = old.Keys
		}
	}
	return t
}

func number(form url.Values, field string, f *fescuebank.Faults) float64 {
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

// words splits a list at commas and spaces.
func words[T ~string](text string) []T {
	var list []T
	for _, word := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' || r == '\n' || r == '\r' }) {
		list = append(list, T(word))
	}
	return list
}

// diffLine is one line of a diff: sign is "+", "-" or " ".
type diffLine struct {
	Sign string
	Text string
}

// diff shows what the draft changes, entry by entry.
func diff(before, after *fescuebank.DesiredState) []diffLine {
	var lines []diffLine
	lines = append(lines, diffList("team", before.Teams, after.Teams, func(t fescuebank.Team) string { return string(t.ID) })...)
	lines = append(lines, diffList("model", before.Models, after.Models, func(m fescuebank.Model) string { return string(m.Name) })...)
	lines = append(lines, diffList("endpoint", before.Endpoints, after.Endpoints, func(e fescuebank.EndpointSpec) string { return string(e.ID) })...)
	lines = append(lines, diffList("service", before.Services, after.Services, func(s fescuebank.Service) string { return string(s.Name) })...)
	return lines
}

func diffList[T any](kind string, before, after []T, id func(T) string) []diffLine {
	was := make(map[string][]byte, len(before))
	for _, entry := range before {
		was[id(entry)], _ = json.Marshal(entry)
	}
	var lines []diffLine
	for _, entry := range after {
		now, _ := json.Marshal(entry)
		old, existed := was[id(entry)]
		delete(was, id(entry))
		if existed && bytes.Equal(old, now) {
			continue
		}
		if existed {
			lines = append(lines, diffLine{"-", fmt.Sprintf("%s %s", kind, old)})
		}
		lines = append(lines, diffLine{"+", fmt.Sprintf("%s %s", kind, now)})
	}
	for _, entry := range before {
		if old, gone := was[id(entry)]; gone {
			lines = append(lines, diffLine{"-", fmt.Sprintf("%s %s", kind, old)})
		}
	}
	return lines
}
