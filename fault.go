package fescuebank

import (
	"fmt"
	"strings"
)

// Fault is one invalid value in a settings file or a desired state.
type Fault struct {
	// Path locates the value, such as "teams[3].rate" or "[listen] callers".
	Path string `json:"path"`
	// Expected describes a valid value.
	Expected string `json:"expected"`
}

func (f Fault) String() string {
	return f.Path + ": " + f.Expected
}

// Faults collects all faults of a document, so that they are reported together.
type Faults struct {
	// List holds the faults in the order in which they were found.
	List []Fault `json:"faults"`
}

// Add records a fault at path.
func (f *Faults) Add(path, format string, args ...any) {
	f.List = append(f.List, Fault{Path: path, Expected: fmt.Sprintf(format, args...)})
}

// Check records a fault at path unless ok holds.
func (f *Faults) Check(ok bool, path, format string, args ...any) {
	if !ok {
		f.Add(path, format, args...)
	}
}

// Err returns f as an error, or nil if nothing was recorded.
func (f *Faults) Err() error {
	if len(f.List) == 0 {
		return nil
	}
	return f
}

// Error lists the faults, one per line.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.List))
	for _, fault := range f.List {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
