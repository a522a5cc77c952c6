package objectserver

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fescuebank"
)

// maxWatchWait is the time after which a watch returns without an event.
const maxWatchWait = 30 * time.Second

// listReply is the response body of a list and of a watch.
type listReply struct {
	Version fescuebank.StoreVersion `json:"version"`
	Objects []wireObject            `json:"objects"`
}

// wireObject is an object in a list or a watch.
type wireObject struct {
	Key     string                  `json:"key"`
	Value   []byte                  `json:"value,omitempty"`
	Version fescuebank.StoreVersion `json:"version"`
	Deleted bool                    `json:"deleted,omitempty"`
}

// Handler returns the HTTP API of the platform: /objects/KEY, /objects?prefix=,
// /watch?prefix=&from= and /instances, and for tests /faults and /calls.
func (s *ObjectServer) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("GET /objects/{key...}", s.serveGet)
	api.HandleFunc("PUT /objects/{key...}", s.servePut)
	api.HandleFunc("DELETE /objects/{key...}", s.serveDelete)
	api.HandleFunc("GET /objects", s.serveList)
	api.HandleFunc("GET /watch", s.serveWatch)
	api.HandleFunc("GET /instances", s.serveInstances)
	api.HandleFunc("PUT /instances", s.servePutInstance)
	mux := http.NewServeMux()
	mux.Handle("/", s.injectFaults(api))
	mux.HandleFunc("PUT /faults", s.serveFaults)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	return mux
}

// injectFaults applies the active faults to a call before it reaches next.
func (s *ObjectServer) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		allowed := s.allow()
		s.mu.Unlock()
		if f.Delay > 0 {
			select {
			case <-s.clock.After(f.Delay):
			case <-r.Context().Done():
				return
			}
		}
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if !allowed {
			http.Error(w, "rate", http.StatusTooManyRequests)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *ObjectServer) serveGet(w http.ResponseWriter, r *http.Request) {
	o, ok := s.get(r.PathValue("key"))
	if !ok {
		http.Error(w, "absent", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", formatVersion(o.Version))
	_, _ = w.Write(o.Value)
}

func (s *ObjectServer) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(fescuebank.MaxValue)+1))
	if err != nil {
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.serveWrite(w, r, fescuebank.Object{Key: r.PathValue("key"), Value: value})
}

func (s *ObjectServer) serveDelete(w http.ResponseWriter, r *http.Request) {
	s.serveWrite(w, r, fescuebank.Object{Key: r.PathValue("key"), Deleted: true})
}

func (s *ObjectServer) serveWrite(w http.ResponseWriter, r *http.Request, o fescuebank.Object) {
	expected, err := expectedVersion(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, lost, err := s.write(o, expected)
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case errors.Is(err, fescuebank.ErrVersion):
		http.Error(w, "version", http.StatusPreconditionFailed)
	case errors.Is(err, fescuebank.ErrTooLarge):
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
	default:
		w.Header().Set("ETag", formatVersion(version))
	}
}

func (s *ObjectServer) serveList(w http.ResponseWriter, r *http.Request) {
	objects, version := s.list(r.URL.Query().Get("prefix"))
	writeJSON(w, listReply{Version: version, Objects: toWire(objects)})
}

func (s *ObjectServer) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	from, err := parseVersion(r.URL.Query().Get("from"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.calls.Watches++
	s.mu.Unlock()
	end := s.clock.After(maxWatchWait)
	for {
		events, version, changed, err := s.eventsAfter(prefix, from)
		if err != nil {
			http.Error(w, "history gone", http.StatusGone)
			return
		}
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 || f.EndWatches {
			writeJSON(w, listReply{Version: version, Objects: toWire(events)})
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(w, listReply{Version: version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *ObjectServer) serveInstances(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.instances())
}

func (s *ObjectServer) servePutInstance(w http.ResponseWriter, r *http.Request) {
	var i fescuebank.ListedInstance
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.setInstance(i)
}

func (s *ObjectServer) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func toWire(objects []fescuebank.Object) []wireObject {
	list := make([]wireObject, 0, len(objects))
	for _, o := range objects {
		list = append(list, wireObject(o))
	}
	return list
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// expectedVersion returns the version that a write expects, from If-Match or
// If-None-Match.
func expectedVersion(r *http.Request) (fescuebank.StoreVersion, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return fescuebank.Absent, nil
	}
	return parseVersion(strings.Trim(r.Header.Get("If-Match"), `"`))
}

func formatVersion(v fescuebank.StoreVersion) string {
	return `"` + strconv.FormatUint(uint64(v), 10) + `"`
}

func parseVersion(text string) (fescuebank.StoreVersion, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.New("want a version")
	}
	return fescuebank.StoreVersion(n), nil
}
