package fescuebank_test

import (
	"net/http"
	"reflect"
	"testing"

	"fescuebank"
)

// TestForwardedHeaders guards against a header that is passed on because of how its name is written.
func TestForwardedHeaders(t *testing.T) {
	for _, tt := range []struct {
		name      string
		got, want http.Header
	}{
		{"ordinary", http.Header{"X-A": {"1", "2"}}, http.Header{"X-A": {"1", "2"}}},
		{"small letters", http.Header{"x-a": {"1"}}, http.Header{"X-A": {"1"}}},
		{"of one connection", http.Header{"Te": {"a"}, "upgrade": {"b"}, "transfer-Encoding": {"chunked"}}, http.Header{}},
		{"named by Connection", http.Header{"connection": {"close, x-a"}, "X-A": {"1"}, "x-b": {"2"}}, http.Header{"X-B": {"2"}}},
		{"for this system", http.Header{"AUTHORIZATION": {"a"}, "content-length": {"1"}, "host": {"h"}}, http.Header{}},
	} {
		if got := fescuebank.ForwardedHeaders(tt.got); !reflect.DeepEqual(got, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
