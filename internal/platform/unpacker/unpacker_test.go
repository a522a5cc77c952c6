package unpacker_test

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"fescuebank/internal/platform/unpacker"
)

var deep = strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)

// TestElements guards against one element that makes all others unreadable.
func TestElements(t *testing.T) {
	for _, tt := range []struct {
		document string
		want     []string
		fails    bool
	}{
		{` [ ] `, nil, false},
		{`[1, -2.5e3 ,true,null]`, []string{"1", "-2.5e3", "true", "null"}, false},
		{`["a,]","\"]\\",{"b":[1,2]},[[3],{}]]`, []string{`"a,]"`, `"\"]\\"`, `{"b":[1,2]}`, `[[3],{}]`}, false},
		{`[1e999,` + deep + `,"b"]`, []string{"1e999", deep, `"b"`}, false},
		{`[1,2`, nil, true},
		{`[1 2]`, nil, true},
		{`["a]`, nil, true},
		{`[,1]`, nil, true},
		{`{"a":1}`, nil, true},
		{``, nil, true},
	} {
		elements, err := unpacker.Elements([]byte(tt.document))
		var got []string
		for _, e := range elements {
			got = append(got, string(e))
		}
		if (err != nil) != tt.fails || (!tt.fails && !slices.Equal(got, tt.want)) {
			t.Errorf("%.60s: got %.60q, error %v, want %.60q, an error %v", tt.document, got, err, tt.want, tt.fails)
		}
	}
}

// TestFields guards against one field that makes all others unreadable.
func TestFields(t *testing.T) {
	for _, tt := range []struct {
		document string
		want     map[string]string
		fails    bool
	}{
		{`{}`, map[string]string{}, false},
		{`{"a" : 1 , "b":"}","c":{"d":[{}]}}`, map[string]string{"a": "1", "b": `"}"`, "c": `{"d":[{}]}`}, false},
		{`{"a":` + deep + `,"b":2}`, map[string]string{"a": deep, "b": "2"}, false},
		{`{"a":1`, nil, true},
		{`{"a" 1}`, nil, true},
		{`{a:1}`, nil, true},
		{`{"a":}`, nil, true},
		{`[]`, nil, true},
	} {
		fields, err := unpacker.Fields([]byte(tt.document))
		got := make(map[string]string)
		for name, value := range fields {
			got[name] = string(value)
		}
		if (err != nil) != tt.fails || (!tt.fails && !maps.Equal(got, tt.want)) {
			t.Errorf("%.60s: got %.60q, error %v, want %.60q, an error %v", tt.document, got, err, tt.want, tt.fails)
		}
	}
}

// TestValidDocumentsAreSplitAsDecoded compares the parts of drawn documents with those that encoding/json finds.
func TestValidDocumentsAreSplitAsDecoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOf(rapid.OneOf(
			rapid.Map(rapid.String(), func(s string) any { return s }),
			rapid.Map(rapid.Float64(), func(f float64) any { return f }),
			rapid.Map(rapid.MapOf(rapid.String(), rapid.SliceOf(rapid.Int())), func(m map[string][]int) any { return m }),
		)).Draw(t, "values")
		document, err := json.MarshalIndent(values, "", rapid.SampledFrom([]string{"", " ", "\t"}).Draw(t, "indent"))
		if err != nil {
			t.Skip()
		}
		var want []json.RawMessage
		if err := json.Unmarshal(document, &want); err != nil {
			t.Fatal(err)
		}
		got, err := unpacker.Elements(document)
		if err != nil || !slices.EqualFunc(got, want, func(a, b json.RawMessage) bool { return string(a) == string(b) }) {
			t.Fatalf("got %q, error %v, want %q", got, err, want)
		}
	})
}
