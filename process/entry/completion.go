package entry

import (
	"encoding/json"
	"time"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/request/attempt"
)

// completionBody is a complete response in the OpenAI-compatible form.
type completionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   attempt.Usage      `json:"usage"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Message      *completionMessage `json:"message,omitempty"`
	Text         *string            `json:"text,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func completion(r *savorywing.Request, content, finish string, tokens int, now time.Time) ([]byte, error) {
	choice := completionChoice{FinishReason: finish}
	object := "text_completion"
	if r.Chat {
		object = "chat.completion"
		choice.Message = &completionMessage{Role: "assistant", Content: content}
	} else {
		choice.Text = &content
	}
	return json.Marshal(completionBody{
		ID: string(r.ID), Object: object, Created: now.Unix(), Model: r.Model,
		Choices: []completionChoice{choice}, Usage: attempt.Usage{CompletionTokens: tokens, TotalTokens: tokens},
	})
}
