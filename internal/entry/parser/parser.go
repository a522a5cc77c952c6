// Package parser parses request bodies into completions.
package parser

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"fescuebank"
)

const (
	// defaultMaxTokens bounds a completion whose request sets no limit.
	defaultMaxTokens = 256
	// maxTokensLimit is the highest limit that a request may set.
	maxTokensLimit = 32768
	// charsPerToken is used to estimate the length of a prompt in tokens.
	charsPerToken = 4
	// prefixChars is the length of the prompt prefix that is hashed.
	prefixChars = 512
)

// Parser parses the bodies of one path.
type Parser struct {
	// Chat is set for chat completions.
	Chat bool
}

// body holds the fields that the system itself uses.
type body struct {
	Model     fescuebank.ModelName `json:"model"`
	Messages  []message            `json:"messages"`
	Prompt    json.RawMessage      `json:"prompt"`
	MaxTokens *int64               `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens *int64 `json:"max_completion_tokens"`
	Count               *int   `json:"n"`
	Stream              bool   `json:"stream"`
}

// message is one turn of a chat; its content is a text or a list of parts.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Parse checks a body. It returns the completion without ids, whether the response is to
// be streamed, and a *fescuebank.Refusal for invalid input.
func (p Parser) Parse(text []byte) (*fescuebank.CompletionRequest, bool, error) {
	var b body
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, false, badRequest("the body is not valid JSON: %v", err)
	}
	if b.Model == "" {
		return nil, false, badRequest("want a model")
	}
	if b.Count != nil && *b.Count != 1 {
		return nil, false, badRequest("want n to be 1")
	}
	c := &fescuebank.CompletionRequest{Model: b.Model, Chat: p.Chat, Body: text}
	if err := p.parsePrompt(c, &b); err != nil {
		return nil, false, err
	}
	if err := parseMaxTokens(c, &b); err != nil {
		return nil, false, err
	}
	return c, b.Stream, nil
}

func badRequest(format string, args ...any) error {
	return fescuebank.Refuse(http.StatusBadRequest, fescuebank.CodeBadRequest, format, args...)
}

func (p Parser) parsePrompt(c *fescuebank.CompletionRequest, b *body) error {
	var start []byte
	length := 0
	if !p.Chat {
		if json.Unmarshal(b.Prompt, &c.Prompt) != nil || c.Prompt == "" {
			return badRequest("want prompt to be a text that is not empty")
		}
		start, length = []byte(c.Prompt), len(c.Prompt)
	} else {
		if len(b.Messages) == 0 {
			return badRequest("want messages")
		}
		for i, m := range b.Messages {
			content, err := parseContent(m.Content)
			if m.Role == "" || err != nil {
				return badRequest("messages[%d]: want a role and a content of text", i)
			}
			c.Messages = append(c.Messages, fescuebank.Message{Role: m.Role, Content: content})
			length += len(m.Role) + len(content)
			if len(start) < prefixChars {
				start = fmt.Appendf(start, "%s: %s\n", m.Role, content)
			}
		}
	}
	c.PromptTokens = fescuebank.Tokens(length/charsPerToken + 1)
	if len(start) >= prefixChars {
		c.PrefixHash = xxhash.Sum64(append([]byte(c.Model), start[:prefixChars]...))
	}
	return nil
}

// parseContent parses a text, or a list of text parts.
func parseContent(raw json.RawMessage) (string, error) {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return text, nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", err
	}
	var all bytes.Buffer
	for _, p := range parts {
		if p.Type != "text" {
			return "", fmt.Errorf("unsupported content part of type %q", p.Type)
		}
		all.WriteString(p.Text)
	}
	return all.String(), nil
}

func parseMaxTokens(c *fescuebank.CompletionRequest, b *body) error {
	given := b.MaxTokens
	if b.MaxCompletionTokens != nil {
		given = b.MaxCompletionTokens
	}
	c.MaxTokens = defaultMaxTokens
	if given == nil {
		return nil
	}
	if *given < 1 || *given > maxTokensLimit {
		return badRequest("want max_tokens from 1 to %d", maxTokensLimit)
	}
	c.MaxTokens = fescuebank.Tokens(*given)
	return nil
}
