// Package loader reads the daemon's settings from INI.
package loader

import (
	"os"
	"reflect"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"fescuebank"
)

// Loader reads settings files.
type Loader struct{}

// section pairs an INI section with the struct that it fills.
type section struct {
	name string
	into any
}

func sections(s *fescuebank.Settings) []section {
	return []section{
		{"instance", &s.Instance}, {"listen", &s.Listen}, {"platform", &s.Platform},
		{"tls", &s.TLS}, {"operators", &s.Operators}, {"roles", &s.Roles},
		{"limits", &s.Limits}, {"timing", &s.Timing}, {"log", &s.Log},
	}
}

// Load reads and checks the file at path.
func (l Loader) Load(path string) (*fescuebank.Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "Loader.Load")
	}
	return l.Parse(b)
}

// Parse reads and checks settings. It returns every fault at once, as
// *fescuebank.Faults; a section or key that is unknown is a fault.
func (l Loader) Parse(b []byte) (*fescuebank.Settings, error) {
	var f fescuebank.Faults
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, b)
	if err != nil {
		f.Add("file", "want INI: %v", err)
		return nil, f.Err()
	}
	var s fescuebank.Settings
	s.Defaults()
	known := map[string]bool{}
	for _, part := range sections(&s) {
		known[part.name] = true
		fillSection(&f, file, part)
	}
	for _, given := range file.SectionStrings() {
		stray := given == ini.DefaultSection && len(file.Section(given).Keys()) > 0
		f.Check(!stray, "file", "want every key in a section")
		f.Check(known[given] || given == ini.DefaultSection, "["+given+"]", "want a known section")
	}
	if err := s.Validate(); err != nil {
		f.List = append(f.List, unreported(f.List, err)...)
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// unreported returns the faults of err whose path has none yet.
func unreported(have []fescuebank.Fault, err error) []fescuebank.Fault {
	more, ok := err.(*fescuebank.Faults)
	if !ok {
		return nil
	}
	seen := map[string]bool{}
	for _, fault := range have {
		seen[fault.Path] = true
	}
	var list []fescuebank.Fault
	for _, fault := range more.List {
		if !seen[fault.Path] {
			list = append(list, fault)
		}
	}
	return list
}

func fillSection(f *fescuebank.Faults, file *ini.File, part section) {
	if !file.HasSection(part.name) {
		return
	}
	given := file.Section(part.name)
	into := reflect.ValueOf(part.into).Elem()
	known := map[string]bool{}
	for i := range into.NumField() {
		name := into.Type().Field(i).Tag.Get("ini")
		known[name] = true
		if given.HasKey(name) {
			fillKey(f, "["+part.name+"] "+name, given.Key(name), into.Field(i))
		}
	}
	for _, name := range given.KeyStrings() {
		f.Check(known[name], "["+part.name+"] "+name, "want a known key")
	}
}

func fillKey(f *fescuebank.Faults, path string, key *ini.Key, field reflect.Value) {
	if len(key.ValueWithShadows()) > 1 {
		f.Add(path, "want the key once")
		return
	}
	if field.Type() == reflect.TypeFor[fescuebank.TimingSettings]().Field(0).Type {
		d, err := key.Duration()
		f.Check(err == nil, path, "want a duration such as 3s")
		field.SetInt(int64(d))
		return
	}
	switch field.Kind() {
	case reflect.String:
		field.SetString(key.String())
	case reflect.Bool:
		b, err := key.Bool()
		f.Check(err == nil, path, "want true or false")
		field.SetBool(b)
	case reflect.Int, reflect.Int64:
		n, err := key.Int64()
		f.Check(err == nil, path, "want a whole number")
		field.SetInt(n)
	case reflect.Float64:
		n, err := key.Float64()
		f.Check(err == nil, path, "want a number")
		field.SetFloat(n)
	}
}
