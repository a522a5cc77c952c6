package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pageItems is the number of objects on one page of a list.
const pageItems = 500

// Store is the platform's store: objects by kind and name, with one revision counter. A call takes effect when it arrives,
// and is answered after a delay.
type Store struct {
	// OnWrite, if set, is called after each write of an object with its key and spec.
	OnWrite func(key string, spec []byte)
	// delay is the time that an answer takes, in nanoseconds.
	delay atomic.Int64

	mu       sync.Mutex
	revision uint64
	objects  map[string]object
	history  []event
	changed  chan struct{}
}

// metadata is the part of an object that the store maintains.
type metadata struct {
	Name string `json:"name"`
	Rev  uint64 `json:"rev"`
}

// object is one object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// event is one change of an object.
type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// NewStore returns an empty store.
func NewStore(delay time.Duration) *Store {
	s := &Store{revision: 1, objects: make(map[string]object), changed: make(chan struct{})}
	s.SetDelay(delay)
	return s
}

// SetDelay sets the time that answers take from now on.
func (s *Store) SetDelay(delay time.Duration) {
	s.delay.Store(int64(delay))
}

// Listen serves the store on a free loopback address and returns it.
func (s *Store) Listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return l.Addr().String(), nil
}

// Put writes an object without a condition, as the operator and the workers do.
func (s *Store) Put(key string, spec any) error {
	value, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[key]
	o.Spec = value
	s.write(key, o)
	return nil
}

// Remove removes an object.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Get returns the spec and the status of an object.
func (s *Store) Get(key string) (spec, status []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	return o.Spec, o.Status, ok
}

// write stores an object under the next revision. The caller holds the lock.
func (s *Store) write(key string, o object) object {
	kind, name, _ := strings.Cut(key, "/")
	s.revision++
	o.Metadata = metadata{Name: name, Rev: s.revision}
	s.objects[key] = o
	s.record(event{Object: o, kind: kind})
	return o
}

// remove removes an object. The caller holds the lock.
func (s *Store) remove(key string) {
	o, ok := s.objects[key]
	if !ok {
		return
	}
	kind, _, _ := strings.Cut(key, "/")
	s.revision++
	o.Metadata.Rev = s.revision
	delete(s.objects, key)
	s.record(event{Object: o, Deleted: true, kind: kind})
}

// record adds an event to the history and wakes the watches. The caller holds the lock.
func (s *Store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP handles one call and answers it after the delay.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	s.handle(answer, r)
	time.Sleep(time.Duration(s.delay.Load()))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // It fails only if the caller has gone.
}

func (s *Store) handle(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/api/objects/")
	if r.URL.Query().Has("watch") {
		s.serveWatch(w, r, key)
		return
	}
	isNamed := strings.Contains(key, "/")
	switch {
	case r.Method == http.MethodGet && isNamed:
		s.serveGet(w, key)
	case r.Method == http.MethodGet:
		s.serveList(w, r, key)
	case r.Method == http.MethodDelete:
		s.serveDelete(w, r, key)
	default:
		s.serveWrite(w, r, key)
	}
}

func (s *Store) serveGet(w http.ResponseWriter, key string) {
	s.mu.Lock()
	o, ok := s.objects[key]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, o)
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	var names []string
	for key := range s.objects {
		if k, name, _ := strings.Cut(key, "/"); k == kind && name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	hasMore := len(names) > pageItems
	items := []object{}
	for _, name := range names[:min(len(names), pageItems)] {
		items = append(items, s.objects[kind+"/"+name])
	}
	at := s.revision
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"items": items, "hasMore": hasMore, "at": at})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Rev > from {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			respond(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if rev := r.URL.Query().Get("rev"); rev != "" && rev != strconv.FormatUint(o.Metadata.Rev, 10) {
		respond(w, http.StatusConflict, o)
		return
	}
	s.remove(key)
	w.WriteHeader(http.StatusOK)
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, key string) {
	var sent object
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	isStatus := strings.HasSuffix(key, "/status")
	key = strings.TrimSuffix(key, "/status")
	if r.Method == http.MethodPost {
		key += "/" + sent.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.OnWrite != nil {
		defer s.OnWrite(key, sent.Spec)
	}
	o, exists := s.objects[key]
	isConflict := r.Method == http.MethodPost && exists || exists && sent.Metadata.Rev != 0 && sent.Metadata.Rev != o.Metadata.Rev
	switch {
	case isConflict:
		respond(w, http.StatusConflict, o)
		return
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case isStatus:
		o.Status = sent.Status
	default:
		o.Spec = sent.Spec
	}
	respond(w, http.StatusOK, s.write(key, o))
}

func respond(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // A recorder takes all.
}
