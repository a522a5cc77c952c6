package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"fescuebank"
	"fescuebank/internal/entry/errorwriter"
	"fescuebank/internal/entry/parser"
)

// serveCompletion serves a completion, as a stream or as a single response.
func (g *Gateway) serveCompletion(chat bool) handler {
	return func(w http.ResponseWriter, r *http.Request, c *call) error {
		completion, stream, err := g.parseCompletion(w, r, c, chat)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(r.Context(), g.Timing.OnlineDeadline)
		defer cancel()
		completion.Deadline, _ = ctx.Deadline()
		resp := newCompletionResponse(completion, g.Clock.Now().Unix())
		if stream {
			err = g.streamCompletion(ctx, w, c, resp)
		} else {
			err = g.writeCompletion(ctx, w, c, resp)
		}
		g.Observer.RequestEnded(c.caller.Team.ID, err)
		if resp.started {
			return nil // The error was sent within the stream.
		}
		return err
	}
}

func (g *Gateway) parseCompletion(w http.ResponseWriter, r *http.Request, c *call, chat bool) (*fescuebank.CompletionRequest, bool, error) {
	body, err := g.readBody(w, r)
	if err != nil {
		return nil, false, err
	}
	completion, stream, err := parser.Parser{Chat: chat}.Parse(body)
	if err != nil {
		return nil, false, err
	}
	if _, ok := g.Source.Current().Models[completion.Model]; !ok || !c.caller.Team.MayUse(completion.Model) {
		return nil, false, fescuebank.Refuse(http.StatusNotFound, fescuebank.CodeUnknownModel, "unknown model %q", completion.Model)
	}
	completion.Request = c.id
	completion.Team = c.caller.Team.ID
	return completion, stream, nil
}

// completionResponse converts deltas into the callers' JSON format.
type completionResponse struct {
	completion *fescuebank.CompletionRequest
	created    int64
	started    bool
	tokens     fescuebank.Tokens
	finish     string
}

func newCompletionResponse(c *fescuebank.CompletionRequest, created int64) *completionResponse {
	return &completionResponse{completion: c, created: created}
}

// chunk is one event of a stream, or a complete response.
type chunk struct {
	ID      fescuebank.RequestID `json:"id"`
	Object  string               `json:"object"`
	Created int64                `json:"created"`
	Model   fescuebank.ModelName `json:"model"`
	Choices []choice             `json:"choices"`
	Usage   *usage               `json:"usage,omitempty"`
}

type choice struct {
	Index        int                 `json:"index"`
	Text         *string             `json:"text,omitempty"`
	Delta        *delta              `json:"delta,omitempty"`
	Message      *fescuebank.Message `json:"message,omitempty"`
	FinishReason *string             `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     fescuebank.Tokens `json:"prompt_tokens"`
	CompletionTokens fescuebank.Tokens `json:"completion_tokens"`
	TotalTokens      fescuebank.Tokens `json:"total_tokens"`
}

func (r *completionResponse) chunk(object string, c choice) chunk {
	return chunk{ID: r.completion.Request, Object: object, Created: r.created, Model: r.completion.Model, Choices: []choice{c}}
}

func (r *completionResponse) event(d fescuebank.Delta) chunk {
	c := choice{}
	if d.Finish != "" {
		c.FinishReason = &d.Finish
	}
	if !r.completion.Chat {
		c.Text = &d.Text
		return r.chunk("text_completion", c)
	}
	c.Delta = &delta{Content: d.Text}
	if d.Index == 0 {
		c.Delta.Role = "assistant"
	}
	return r.chunk("chat.completion.chunk", c)
}

// streamCompletion writes server-sent events. An error before the first event is
// returned, so that it can be sent with its status code; a later one is sent as an event.
func (g *Gateway) streamCompletion(ctx context.Context, w http.ResponseWriter, c *call, resp *completionResponse) error {
	controller := http.NewResponseController(w)
	err := g.Router.Complete(ctx, resp.completion, c.caller.Team.Weight, func(d fescuebank.Delta) error {
		if !resp.started {
			resp.started = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cache-Control", "no-store")
		}
		if err := writeEvent(w, resp.event(d)); err != nil {
			return err
		}
		return controller.Flush()
	})
	if err == nil {
		_, err = io.WriteString(w, "data: [DONE]\n\n")
		return err
	}
	if !resp.started {
		return err
	}
	var refusal *fescuebank.Refusal
	if errors.As(err, &refusal) {
		_ = writeEvent(w, errorwriter.NewBody(c.id, refusal))
	}
	return err
}

func writeEvent(w io.Writer, content any) error {
	text, err := json.Marshal(content)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", text)
	return err
}

// writeCompletion collects the complete text and writes it as a single response.
func (g *Gateway) writeCompletion(ctx context.Context, w http.ResponseWriter, c *call, resp *completionResponse) error {
	var text strings.Builder
	err := g.Router.Complete(ctx, resp.completion, c.caller.Team.Weight, func(d fescuebank.Delta) error {
		text.WriteString(d.Text)
		resp.tokens = d.Index + 1
		resp.finish = d.Finish
		return nil
	})
	if err != nil {
		return err
	}
	full := text.String()
	last := choice{FinishReason: &resp.finish}
	object := "text_completion"
	if resp.completion.Chat {
		object = "chat.completion"
		last.Message = &fescuebank.Message{Role: "assistant", Content: full}
	} else {
		last.Text = &full
	}
	body := resp.chunk(object, last)
	prompt := resp.completion.PromptTokens
	body.Usage = &usage{PromptTokens: prompt, CompletionTokens: resp.tokens, TotalTokens: prompt + resp.tokens}
	writeJSON(w, body)
	return nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
