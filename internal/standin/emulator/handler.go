package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuebank"
)

const (
	maxBodyBytes = 8 << 20
	// commentInterval is the interval of comments on a stream without tokens.
	commentInterval = time.Second
	// defaultMaxTokens is the response length if the request sets no limit.
	defaultMaxTokens = 64
	// maxTokens is the maximum response length.
	maxTokens = 32768
)

// completionRequest is the body of a completion request.
type completionRequest struct {
	Model     fescuebank.ModelName       `json:"model"`
	Prompt    string                     `json:"prompt"`
	Messages  []fescuebank.Message       `json:"messages"`
	MaxTokens int                        `json:"max_tokens"`
	RequestID fescuebank.RequestID       `json:"request_id"`
	Resume    fescuebank.PartialResponse `json:"resume"`
}

func (b *completionRequest) promptText() string {
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return text.String()
}

// streamEvent is one event of a streamed response.
type streamEvent struct {
	ID         fescuebank.RequestID `json:"id"`
	TokenIndex int                  `json:"token_index"`
	Choices    []choice             `json:"choices"`
}

type choice struct {
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Handler returns the HTTP API of the engine.
func (e *Emulator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/cancel", e.serveCancel)
	mux.HandleFunc("POST /v1/orders", e.serveCommand)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.report()) })
	mux.HandleFunc("GET /v1/models", e.serveModels)
	mux.HandleFunc("GET /v1/cache/events", e.serveEvents)
	mux.HandleFunc("GET /v1/kv/{block}", e.serveExport)
	mux.HandleFunc("PUT /v1/kv/{block}", e.serveImport)
	return mux
}

func (e *Emulator) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s := e.newSequence(&body)
	if err := e.enqueue(body.Model, s); err != nil {
		w.Header().Set(fescuebank.HeaderRunState, string(fescuebank.NotRun))
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, ": admitted\n\n")
	flush(w)
	defer e.cancelSequence(s)
	e.stream(r.Context(), w, s)
}

func (e *Emulator) newSequence(body *completionRequest) *sequence {
	prompt := body.promptText()
	count := body.MaxTokens
	if count <= 0 {
		count = defaultMaxTokens
	}
	count = min(count, maxTokens)
	start := min(int(body.Resume.Tokens), count-1)
	return &sequence{
		request: body.RequestID,
		seed:    xxhash.Sum64String(prompt),
		blocks:  promptBlocks(prompt),
		prefill: len(prompt)/charsPerToken + 1 + start,
		next:    start,
		end:     count,
		out:     make(chan token, count-start+1),
		crash:   strings.Contains(prompt, e.config.CrashMarker),
	}
}

// stream writes each token when it is generated, and [DONE] after the last one. If
// the engine drops the request, it aborts the connection. On a stalled connection
// it writes nothing more and waits for ctx to end.
func (e *Emulator) stream(ctx context.Context, w http.ResponseWriter, s *sequence) {
	for {
		select {
		case t, ok := <-s.out:
			if !ok {
				panic(http.ErrAbortHandler)
			}
			if isStalled(ctx) {
				<-ctx.Done()
				return
			}
			writeToken(w, s.request, t)
			if t.last {
				_, _ = io.WriteString(w, "data: [DONE]\n\n")
				return
			}
			flush(w)
		case <-e.clock.After(commentInterval):
			if isStalled(ctx) {
				<-ctx.Done()
				return
			}
			_, _ = io.WriteString(w, ": waiting\n\n")
			flush(w)
		case <-ctx.Done():
			return
		}
	}
}

func writeToken(w io.Writer, id fescuebank.RequestID, t token) {
	c := choice{Text: t.text}
	if t.last {
		c.FinishReason = "length"
	}
	text, err := json.Marshal(streamEvent{ID: id, TokenIndex: t.index, Choices: []choice{c}})
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", text)
}

func (e *Emulator) serveCancel(_ http.ResponseWriter, r *http.Request) {
	e.cancel(fescuebank.RequestID(r.URL.Query().Get("id")))
}

func (e *Emulator) serveModels(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.models)
}

func (e *Emulator) serveCommand(w http.ResponseWriter, r *http.Request) {
	var command fescuebank.Command
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err := e.execute(r.Context(), command)
	switch {
	case errors.Is(err, errStaleFencing):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// execute executes a command. To load a model, it first fetches the weights.
func (e *Emulator) execute(ctx context.Context, command fescuebank.Command) error {
	if err := e.checkFencing(command); err != nil {
		return err
	}
	if command.Kind == fescuebank.CommandLoadModel {
		if err := e.fetchWeights(ctx, command); err != nil {
			return err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch command.Kind {
	case fescuebank.CommandLoadModel:
		e.models[command.Model] = command.Version
	case fescuebank.CommandUnloadModel:
		delete(e.models, command.Model)
		delete(e.adapters, command.Model)
	case fescuebank.CommandLoadAdapter:
		if !slices.Contains(e.adapters[command.Model], command.Adapter) {
			e.adapters[command.Model] = append(slices.Clone(e.adapters[command.Model]), command.Adapter)
		}
	case fescuebank.CommandChangeRole:
		e.role = command.Role
	}
	return nil
}

// checkFencing fails for a command with a stale fencing number if this engine checks
// fencing numbers. Otherwise it records the command as accepted.
func (e *Emulator) checkFencing(command fescuebank.Command) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.CheckFencing && command.Fencing < e.highestFencing {
		return errStaleFencing
	}
	e.highestFencing = max(e.highestFencing, command.Fencing)
	e.commands = append(e.commands, command)
	return nil
}

func (e *Emulator) fetchWeights(ctx context.Context, command fescuebank.Command) error {
	if e.config.WeightsURL == "" {
		return nil
	}
	address := fmt.Sprintf("%s/weights/%s/%s", e.config.WeightsURL, command.Model, command.Version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store answered %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func (e *Emulator) serveEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	latest := e.clock.Now().Add(-e.config.EventLag)
	e.mu.Lock()
	defer e.mu.Unlock()
	due := []cacheEvent{}
	for _, ev := range e.events {
		if ev.Number > from && !ev.At.After(latest) {
			due = append(due, ev)
		}
	}
	writeJSON(w, due)
}

// serveExport returns the cache entry of a block if it is cached.
func (e *Emulator) serveExport(w http.ResponseWriter, r *http.Request) {
	block, err := strconv.ParseUint(r.PathValue("block"), 16, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil || e.cache.lookup([]uint64{block}) == 0 {
		http.Error(w, "not cached", http.StatusNotFound)
		return
	}
	_, _ = fmt.Fprintf(w, "kv:%016x", block)
}

// serveImport caches a block that another engine exported.
func (e *Emulator) serveImport(w http.ResponseWriter, r *http.Request) {
	block, err := strconv.ParseUint(r.PathValue("block"), 16, 64)
	content, readErr := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil || readErr != nil || string(content) != fmt.Sprintf("kv:%016x", block) {
		http.Error(w, "not an export of this block", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cacheBlocks([]uint64{block})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
}
