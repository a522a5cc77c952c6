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

// maxWatchWait ends a waiting watch without an event.
const maxWatchWait = 30 * time.Second

// listReply is the body of a list and of a watch.
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

// Handler serves the platform over HTTP: /objects/KEY, /objects?prefix=,
// /watch?prefix=&from=, /instances, and /faults and /calls for tests.
func (p *ObjectServer) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("GET /objects/{key...}", p.serveGet)
	api.HandleFunc("PUT /objects/{key...}", p.servePut)
	api.HandleFunc("DELETE /objects/{key...}", p.serveDelete)
	api.HandleFunc("GET /objects", p.serveList)
	api.HandleFunc("GET /watch", p.serveWatch)
	api.HandleFunc("GET /instances", p.serveInstances)
	api.HandleFunc("PUT /instances", p.serveAnnounce)
	mux := http.NewServeMux()
	mux.Handle("/", p.faulty(api))
	mux.HandleFunc("PUT /faults", p.serveFaults)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Calls()) })
	return mux
}

// faulty applies the switched-on failures before a call reaches next.
func (p *ObjectServer) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		allowed := p.allow()
		p.mu.Unlock()
		if f.Delay > 0 {
			select {
			case <-p.clock.After(f.Delay):
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

func (p *ObjectServer) serveGet(w http.ResponseWriter, r *http.Request) {
	o, ok := p.get(r.PathValue("key"))
	if !ok {
		http.Error(w, "absent", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", formatVersion(o.Version))
	_, _ = w.Write(o.Value)
}

func (p *ObjectServer) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(fescuebank.MaxValue)+1))
	if err != nil {
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		return
	}
	p.serveWrite(w, r, fescuebank.Object{Key: r.PathValue("key"), Value: value})
}

func (p *ObjectServer) serveDelete(w http.ResponseWriter, r *http.Request) {
	p.serveWrite(w, r, fescuebank.Object{Key: r.PathValue("key"), Deleted: true})
}

func (p *ObjectServer) serveWrite(w http.ResponseWriter, r *http.Request, o fescuebank.Object) {
	expected, err := expectedVersion(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, lost, err := p.write(o, expected)
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

func (p *ObjectServer) serveList(w http.ResponseWriter, r *http.Request) {
	objects, version := p.list(r.URL.Query().Get("prefix"))
	writeJSON(w, listReply{Version: version, Objects: toWire(objects)})
}

func (p *ObjectServer) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	from, err := parseVersion(r.URL.Query().Get("from"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.calls.Watches++
	p.mu.Unlock()
	end := p.clock.After(maxWatchWait)
	for {
		events, version, changed, err := p.since(prefix, from)
		if err != nil {
			http.Error(w, "history gone", http.StatusGone)
			return
		}
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()
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

func (p *ObjectServer) serveInstances(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.instances())
}

func (p *ObjectServer) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var i fescuebank.ListedInstance
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.announce(i)
}

func (p *ObjectServer) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
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

// expectedVersion reads the condition of a write from If-Match or If-None-Match.
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
