// Command rig3 shows cases with the project's own processes, a store and endpoints on loopback.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// scenario plays a case. It returns what was broken, or an empty text.
type scenario func(f *fleet, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "want SCENARIO DAEMON RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, daemon, path string) int {
	play, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", name)
		return exitNotRun
	}
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	r := &record{file: file, began: time.Now()}
	f, err := newFleet(daemon, r)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		r.add("not run: %v", err)
		return exitNotRun
	}
	broken, err := play(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken != "":
		r.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	r.add("held")
	fmt.Println("held")
	return exitHeld
}

// call makes a caller's call and returns its status and body; status 0 stands for no answer.
func (f *fleet) call(i *instance, method, path, id string, body any) (int, []byte) {
	var reader io.Reader
	if body != nil {
		b, _ := json.Marshal(body) // All bodies can be encoded.
		reader = bytes.NewReader(b)
	}
	r, err := http.NewRequest(method, "http://"+i.callers+path, reader)
	if err != nil {
		return 0, nil
	}
	r.Host = host
	r.Header.Set("Authorization", "Bearer key1")
	r.Header.Set("X-Fescuebank-Deadline-Ms", "4000")
	if id != "" {
		r.Header.Set("X-Fescuebank-Request-Id", id)
	}
	resp, err := f.client.Do(r)
	if err != nil {
		f.record.add("caller: %s %s at %s: %v", method, path, i.id, err)
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		f.record.add("caller: %s %s at %s: %d, broken off", method, path, i.id, resp.StatusCode)
		return 0, nil
	}
	text := string(b)
	if len(text) > 200 {
		text = text[:200] + "..."
	}
	f.record.add("caller: %s %s at %s: %d %s", method, path, i.id, resp.StatusCode, text)
	return resp.StatusCode, b
}
