package storer_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"fescuebank/internal/platform/storer"
	"fescuebank/internal/timing/timekeeper"
)

// TestOddObjectSpoilsNoList guards against one object that can't be decoded and makes a whole list or watch fail.
func TestOddObjectSpoilsNoList(t *testing.T) {
	for _, odd := range []string{
		`{"key":"odd","value":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
		`{"key":"odd","version":1e999}`, `{"key":17}`, `{}`, `17`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"version":7,"objects":[{"key":"a","value":"eA==","version":4},%s,{"key":"b","value":"eA==","version":5}]}`, odd)
		}))
		t.Cleanup(server.Close)
		s := storer.New(server.URL, "", 100, timekeeper.Timekeeper{})
		listed, version, err := s.List(t.Context(), "")
		if err != nil || version != 7 || len(listed) != 2 || listed[0].Key != "a" || listed[1].Key != "b" || string(listed[1].Value) != "x" {
			t.Errorf("%.40s: got list %+v of version %d, error %v, want a and b of version 7", odd, listed, version, err)
		}
		if seen, _, err := s.Watch(t.Context(), "", 3); err != nil || len(seen) != 2 {
			t.Errorf("%.40s: got events %+v, error %v, want a and b", odd, seen, err)
		}
	}
}
