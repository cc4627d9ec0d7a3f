// Package chat is the chat-completions form that callers and engines speak, as
// far as the router must understand it. Everything else in a request or an
// answer passes through unread.
package chat

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"persimmoncross"
)

// Done is the payload of the event that ends a whole stream.
const Done = "[DONE]"

// Request is what the router reads of a request.
type Request struct {
	Model  string
	Stream bool
	// PartIDs identify the messages of the prompt, in order; equal messages have equal IDs.
	PartIDs []string
	fields  map[string]json.RawMessage
}

// ParseRequest reads a request's body.
func ParseRequest(body []byte) (*Request, error) {
	r := &Request{}
	if err := json.Unmarshal(body, &r.fields); err != nil {
		return nil, fmt.Errorf("the body is not a JSON object: %w", err)
	}
	if err := r.read("model", &r.Model, true); err != nil {
		return nil, err
	}
	if err := r.read("stream", &r.Stream, false); err != nil {
		return nil, err
	}
	var messages []json.RawMessage
	if err := r.read("messages", &messages, true); err != nil {
		return nil, err
	}
	if r.Model == "" || len(messages) == 0 {
		return nil, errors.New(`"model" and "messages" must not be empty`)
	}
	for _, message := range messages {
		sum := sha256.Sum256(message)
		r.PartIDs = append(r.PartIDs, hex.EncodeToString(sum[:]))
	}
	return r, nil
}

func (r *Request) read(name string, target any, required bool) error {
	raw, ok := r.fields[name]
	if !ok {
		if required {
			return fmt.Errorf("%q is missing", name)
		}
		return nil
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return fmt.Errorf("%q has the wrong type", name)
	}
	return nil
}

// For returns the request's body with the version in place of what the caller
// named, asking a stream for its usage.
func (r *Request) For(v persimmoncross.ModelVersion) []byte {
	r.fields["model"], _ = json.Marshal(v.String())
	if r.Stream {
		r.fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	body, _ := json.Marshal(r.fields)
	return body
}

// Part is what the router reads of an answer, or of one event of a stream.
type Part struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage"`
	Error   *Fault   `json:"error"`
}

// Choice is one alternative of an answer.
type Choice struct {
	Finish *string `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	Input  uint64 `json:"prompt_tokens"`
	Output uint64 `json:"completion_tokens"`
}

// Fault is an engine's error, in a body or in the middle of a stream.
type Fault struct {
	Message string `json:"message"`
}

// ParsePart reads an answer or an event.
func ParsePart(data []byte) (*Part, error) {
	p := &Part{}
	if err := json.Unmarshal(data, p); err != nil {
		return nil, err
	}
	return p, nil
}

// Finished reports whether a choice came to its end.
func (p *Part) Finished() bool {
	for _, c := range p.Choices {
		if c.Finish != nil && *c.Finish != "" {
			return true
		}
	}
	return false
}
