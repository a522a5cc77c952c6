package loader_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"fescuebank"
	"fescuebank/internal/config/loader"
)

const valid = `[instance]
id = entry-01
zone = tx-austin
[listen]
callers = 127.0.0.1:8080
operators = 127.0.0.1:8443
peers = 127.0.0.1:9000
[platform]
url = http://127.0.0.1:7000
[tls]
ca = ca.pem
cert = cert.pem
key = key.pem
[operators]
user = operator
passwordSha256 = ` + "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855" + `
`

func TestParseValid(t *testing.T) {
	s, err := loader.Loader{}.Parse([]byte(valid + "[timing]\nleaseTtl = 20s\n[roles]\nowner = false\n"))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.Timing.LeaseTTL, 20*time.Second; got != want {
		t.Errorf("leaseTtl: got %s, want %s", got, want)
	}
	if s.Roles.Owner || !s.Roles.Entry {
		t.Errorf("roles: got %+v, want owner off and entry on", s.Roles)
	}
	if got, want := s.Limits.Homes, 4; got != want {
		t.Errorf("homes: got %d, want the default %d", got, want)
	}
}

// TestParseFaults checks that all faults are reported together, by section and key.
func TestParseFaults(t *testing.T) {
	for _, tt := range []struct {
		name string
		text string
		want []string
	}{
		{"empty file", "", []string{
			"[instance] id", "[instance] zone", "[listen] callers", "[listen] operators", "[listen] peers", "[platform] url",
			"[tls] ca", "[tls] cert", "[tls] key", "[operators] user", "[operators] passwordSha256",
		}},
		{"unknown key", valid + "[timing]\nleasettl = 3s\n", []string{"[timing] leasettl"}},
		{"unknown section", valid + "[extra]\na = 1\n", []string{"[extra]"}},
		{"key outside a section", "a = 1\n" + valid, []string{"file"}},
		{"key twice", valid + "[limits]\nhomes = 2\nhomes = 3\n", []string{"[limits] homes"}},
		{"not a duration and not a number", valid + "[timing]\nprobe = soon\n[limits]\nhomes = many\n", []string{"[timing] probe", "[limits] homes"}},
		{"lease too short", valid + "[timing]\nleaseTtl = 3s\n", []string{"[timing] leaseTtl"}},
		{"host name in place of an IP", strings.Replace(valid, "127.0.0.1:8080", "localhost:8080", 1), []string{"[listen] callers"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := loader.Loader{}.Parse([]byte(tt.text))
			var faults *fescuebank.Faults
			if !errors.As(err, &faults) {
				t.Fatalf("got %v, want faults", err)
			}
			var got []string
			for _, f := range faults.List {
				got = append(got, f.Path)
			}
			for _, want := range tt.want {
				if !strings.Contains(strings.Join(got, "|")+"|", want+"|") {
					t.Errorf("got faults at %q, want one at %q", got, want)
				}
			}
			if len(got) != len(tt.want) {
				t.Errorf("got faults at %q, want %q", got, tt.want)
			}
		})
	}
}

// FuzzParse checks that settings which Parse accepts are valid.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[limits]\nhomes = 9999999999999999999999\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := loader.Loader{}.Parse(text)
		if err != nil {
			return
		}
		if err := s.Validate(); err != nil {
			t.Errorf("got accepted settings with faults %v, want none", err)
		}
	})
}
