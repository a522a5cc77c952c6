// Package loader reads the daemon's settings from INI files.
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

// section maps an INI section to the struct that receives its values.
type section struct {
	name   string
	target any
}

func sections(s *fescuebank.Settings) []section {
	return []section{
		{"instance", &s.Instance}, {"listen", &s.Listen}, {"platform", &s.Platform},
		{"tls", &s.TLS}, {"operators", &s.Operators}, {"roles", &s.Roles},
		{"limits", &s.Limits}, {"timing", &s.Timing}, {"log", &s.Log},
	}
}

// Load reads and validates the file at path.
func (l Loader) Load(path string) (*fescuebank.Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "Loader.Load")
	}
	return l.Parse(b)
}

// Parse parses and validates settings. It returns all faults together as
// *fescuebank.Faults. Unknown sections and keys are faults.
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
	for _, sec := range sections(&s) {
		known[sec.name] = true
		fillSection(&f, file, sec)
	}
	for _, name := range file.SectionStrings() {
		hasKeysOutsideSections := name == ini.DefaultSection && len(file.Section(name).Keys()) > 0
		f.Check(!hasKeysOutsideSections, "file", "want every key in a section")
		f.Check(known[name] || name == ini.DefaultSection, "["+name+"]", "want a known section")
	}
	if err := s.Validate(); err != nil {
		f.List = append(f.List, unreported(f.List, err)...)
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// unreported returns the faults of err at paths that have no fault in reported.
func unreported(reported []fescuebank.Fault, err error) []fescuebank.Fault {
	faults, ok := err.(*fescuebank.Faults)
	if !ok {
		return nil
	}
	seen := map[string]bool{}
	for _, fault := range reported {
		seen[fault.Path] = true
	}
	var list []fescuebank.Fault
	for _, fault := range faults.List {
		if !seen[fault.Path] {
			list = append(list, fault)
		}
	}
	return list
}

func fillSection(f *fescuebank.Faults, file *ini.File, sec section) {
	if !file.HasSection(sec.name) {
		return
	}
	parsed := file.Section(sec.name)
	target := reflect.ValueOf(sec.target).Elem()
	known := map[string]bool{}
	for i := range target.NumField() {
		name := target.Type().Field(i).Tag.Get("ini")
		known[name] = true
		if parsed.HasKey(name) {
			fillKey(f, "["+sec.name+"] "+name, parsed.Key(name), target.Field(i))
		}
	}
	for _, name := range parsed.KeyStrings() {
		f.Check(known[name], "["+sec.name+"] "+name, "want a known key")
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
