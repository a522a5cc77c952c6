package lab

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	// Held means that the rule was kept.
	Held = 0
	// Broken means that the rule was broken.
	Broken = 1
	// NotRun means that the case couldn't run.
	NotRun = 2
)

// Raw is JSON that is stored as it is.
type Raw = json.RawMessage

// IsTroubled reports whether the case runs with its disturbance.
func IsTroubled() bool {
	return os.Getenv("TROUBLE") != "0"
}

// Record writes what was sent, answered and run to a file, each line with the time since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file at a path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, began: time.Now()}, nil
}

// Line writes a line.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() {
	_ = r.file.Close() // Its lines were written.
}
