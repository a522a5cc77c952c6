package splitter_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"fescuebank"
	"fescuebank/internal/batch/splitter"
)

func line(id, extra string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/completions","body":{"model":"m","prompt":"p"%s}}`, id, extra)
}

func known(m fescuebank.ModelName) bool { return m == "m" }

func TestErrorsNameTheirLine(t *testing.T) {
	good := line("a", "")
	for _, tt := range []struct {
		name string
		text string
		want string
	}{
		{"empty", "", "line 1"},
		{"not JSON", good + "\n{\n", "line 2"},
		{"duplicate custom_id", good + "\n\n" + good + "\n", "line 3: custom_id \"a\" stands on line 1 already"},
		{"empty custom_id", line("", ""), "line 1: want a custom_id"},
		{"another path", strings.Replace(good, "/v1/completions", "/v1/models", 1), "line 1: want url"},
		{"another method", strings.Replace(good, "POST", "GET", 1), "line 1: want method"},
		{"unknown model", strings.Replace(good, `"m"`, `"x"`, 1), "line 1: unknown model \"x\""},
		{"bad body", line("a", `,"max_tokens":0`), "line 1: body: want max_tokens"},
		{"line too long", line("a", `,"user":"`+strings.Repeat("x", 600<<10)+`"`), "line 1: want at most"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			err := splitter.New(known, func(fescuebank.Chunk) error { return nil }).Split(strings.NewReader(tt.text))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %v, want %q", err, tt.want)
			}
		})
	}
}

func TestChunksContainEachLineOnce(t *testing.T) {
	const items = 2500
	var text bytes.Buffer
	for n := range items {
		fmt.Fprintln(&text, line(fmt.Sprint("item-", n), ""))
	}
	next := 0
	s := splitter.New(known, func(c fescuebank.Chunk) error {
		if c.First != next {
			t.Errorf("got a chunk from item %d, want %d", c.First, next)
		}
		for i, l := range c.Lines {
			if want := fmt.Sprintf("\"item-%d\"", c.First+i); !bytes.Contains(l, []byte(want)) {
				t.Errorf("got line %s, want item %s", l, want)
			}
		}
		next += len(c.Lines)
		return nil
	})
	if err := s.Split(&text); err != nil {
		t.Fatal(err)
	}
	if next != items || s.Items() != items {
		t.Errorf("got %d lines and %d items, want %d", next, s.Items(), items)
	}
}

func TestContentDependsOnLinesOnly(t *testing.T) {
	content := func(text string) string {
		s := splitter.New(known, func(fescuebank.Chunk) error { return nil })
		if err := s.Split(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
		return s.ContentHash()
	}
	a := content(line("a", "") + "\n" + line("b", ""))
	if got := content(line("a", "") + "\r\n\n" + line("b", "") + "\n"); got != a {
		t.Errorf("got %s, want the same content %s", got, a)
	}
	if got := content(line("b", "") + "\n" + line("a", "")); got == a {
		t.Error("got the same content for another order, want another")
	}
}

// FuzzSplit checks that each accepted line is in a chunk and that no chunk exceeds the
// store's largest value.
func FuzzSplit(f *testing.F) {
	f.Add([]byte(line("a", "") + "\n" + line("b", "")))
	f.Add([]byte("{}\n\x00"))
	f.Fuzz(func(t *testing.T, text []byte) {
		lines := 0
		s := splitter.New(known, func(c fescuebank.Chunk) error {
			size := 0
			for _, l := range c.Lines {
				size += len(l)
			}
			if fescuebank.Bytes(size) > fescuebank.MaxValue {
				t.Errorf("got a chunk of %d bytes, want at most %d", size, fescuebank.MaxValue)
			}
			lines += len(c.Lines)
			return nil
		})
		if err := s.Split(bytes.NewReader(text)); err == nil && lines != s.Items() {
			t.Errorf("got %d lines in chunks, want %d", lines, s.Items())
		}
	})
}
