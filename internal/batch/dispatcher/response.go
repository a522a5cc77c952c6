package dispatcher

import (
	"encoding/json"
	"net/http"

	"fescuebank"
)

// completionBody is the body of a completed item.
type completionBody struct {
	ID      fescuebank.RequestID `json:"id"`
	Object  string               `json:"object"`
	Model   fescuebank.ModelName `json:"model"`
	Choices []completionChoice   `json:"choices"`
	Usage   usage                `json:"usage"`
}

type completionChoice struct {
	Index        int                 `json:"index"`
	Text         string              `json:"text,omitempty"`
	Message      *fescuebank.Message `json:"message,omitempty"`
	FinishReason string              `json:"finish_reason"`
}

type usage struct {
	PromptTokens     fescuebank.Tokens `json:"prompt_tokens"`
	CompletionTokens fescuebank.Tokens `json:"completion_tokens"`
	TotalTokens      fescuebank.Tokens `json:"total_tokens"`
}

func completedReport(report fescuebank.ItemReport, c *fescuebank.CompletionRequest, customID, finish string) fescuebank.ItemReport {
	choice := completionChoice{FinishReason: finish}
	object := "text_completion"
	if c.Chat {
		object = "chat.completion"
		choice.Message = &fescuebank.Message{Role: "assistant", Content: report.Resume.Text}
	} else {
		choice.Text = report.Resume.Text
	}
	body, _ := json.Marshal(completionBody{
		ID: c.Request, Object: object, Model: c.Model, Choices: []completionChoice{choice},
		Usage: usage{PromptTokens: c.PromptTokens, CompletionTokens: report.Resume.Tokens, TotalTokens: c.PromptTokens + report.Resume.Tokens},
	})
	report.Kind = fescuebank.ItemDone
	report.Resume = fescuebank.PartialResponse{}
	report.Outcome = fescuebank.ItemOutcome{CustomID: customID, Status: http.StatusOK, Body: body}
	return report
}

// errorBody is the body of an item that failed.
type errorBody struct {
	Code    fescuebank.RefusalCode `json:"code"`
	Message string                 `json:"message"`
}

func failedReport(report fescuebank.ItemReport, customID string, status int, code fescuebank.RefusalCode, message string) fescuebank.ItemReport {
	body, _ := json.Marshal(errorBody{Code: code, Message: message})
	report.Kind = fescuebank.ItemDone
	report.Resume = fescuebank.PartialResponse{}
	report.Outcome = fescuebank.ItemOutcome{CustomID: customID, Status: status, Body: body, Failed: true}
	return report
}
