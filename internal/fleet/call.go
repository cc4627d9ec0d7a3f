package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"persimmoncross/io/protocol/problem"
)

// Call is one caller's request.
type Call struct {
	VM      string
	Key     string // the organisation's
	Model   string // of a chat request
	Text    string // the question
	Tokens  int
	Stream  bool
	Method  string // of a plain service's call
	Path    string // such as /services/stock/deposit
	Headers map[string]string
}

// Reply is what the caller got.
type Reply struct {
	Status  int
	Request string
	Version string
	Text    string // of the answer
	Whole   bool   // [DONE], or a body with a good status
	Problem problem.Document
	Header  http.Header
	Body    []byte
}

// client keeps a connection for each of many callers.
var client = &http.Client{
	Transport: &http.Transport{
		MaxIdleConnsPerHost: 256,
	},
}

// Do sends the call and reads the whole reply.
func (f *Fleet) Do(ctx context.Context, c Call) (Reply, error) {
	request, err := f.request(ctx, c)
	if err != nil {
		return Reply{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return Reply{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	r := Reply{
		Status:  response.StatusCode,
		Request: response.Header.Get("Request-Id"),
		Version: response.Header.Get("Model-Version"),
		Header:  response.Header,
		Body:    body,
	}
	if err != nil {
		return r, err
	}
	return r, r.read(c)
}

func (f *Fleet) request(ctx context.Context, c Call) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", []byte(c.Text)
	if c.Path != "" {
		method, path = c.Method, c.Path
	} else {
		body, _ = json.Marshal(map[string]any{
			"model":      c.Model,
			"stream":     c.Stream,
			"max_tokens": c.Tokens,
			"messages":   []any{map[string]any{"role": "user", "content": c.Text}},
		})
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.Caller(c.VM).String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	for name, value := range c.Headers {
		request.Header.Set(name, value)
	}
	return request, nil
}

// answerBody is the part of an answer or event that holds text.
type answerBody struct {
	Choices []struct {
		Message struct{ Content string }
		Delta   struct{ Content string }
	}
}

func (r *Reply) read(c Call) error {
	switch {
	case strings.HasPrefix(r.Header.Get("Content-Type"), problem.ContentType):
		return json.Unmarshal(r.Body, &r.Problem)
	case strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream"):
		return r.readStream()
	case c.Path != "":
		r.Whole = r.Status == http.StatusOK
		return nil
	}
	var a answerBody
	if err := json.Unmarshal(r.Body, &a); err != nil {
		return err
	}
	r.Text = a.Choices[0].Message.Content
	r.Whole = true
	return nil
}

func (r *Reply) readStream() error {
	lines := bufio.NewScanner(bytes.NewReader(r.Body))
	failed := false
	var text strings.Builder
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case lines.Text() == "event: error":
			failed = true
		case !ok:
		case failed:
			return json.Unmarshal([]byte(data), &r.Problem)
		case data == "[DONE]":
			r.Whole = true
		default:
			var a answerBody
			if err := json.Unmarshal([]byte(data), &a); err != nil {
				return err
			}
			for _, n := range a.Choices {
				text.WriteString(n.Delta.Content)
			}
		}
	}
	r.Text = text.String()
	return lines.Err()
}

// WantText returns the text that a stand-in engine generates.
func WantText(tokens int) string {
	var b strings.Builder
	for i := range tokens {
		fmt.Fprintf(&b, "t%d ", i)
	}
	return b.String()
}
