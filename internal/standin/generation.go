package standin

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// generation is one answer being made.
type generation struct {
	engine  *Engine
	run     *Run
	request chatRequest
	fault   Fault
}

// cutRuns keeps the generations that were cut and may be resumed.
var cutRuns = &cutTable{
	byRun: map[*Run]*generation{},
}

type cutTable struct {
	mu    sync.Mutex // guards byRun
	byRun map[*Run]*generation
}

func (t *cutTable) put(g *generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byRun[g.run] = g
}

func (t *cutTable) get(r *Run) *generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byRun[r]
}

// prefill reads the prompt, faster where its beginning is cached.
func (g *generation) prefill(r *http.Request) bool {
	prompt := g.request.prompt()
	fresh := 0
	g.engine.mu.Lock()
	for i := cacheBlock; i <= len(prompt); i += cacheBlock {
		if !g.engine.cache[prompt[:i]] {
			fresh += cacheBlock
			g.engine.cache[prompt[:i]] = true
		}
	}
	g.engine.mu.Unlock()
	return g.sleep(r, time.Duration(float64(g.engine.Prefill)*float64(fresh)/1024))
}

func (g *generation) sleep(r *http.Request, d time.Duration) bool {
	if g.fault.Kind == FaultSlow {
		factor := g.fault.Factor
		if factor == 0 {
			factor = 10
		}
		d = time.Duration(float64(d) * factor)
	}
	if d <= 0 {
		return r.Context().Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// token returns the i-th token: the same for the attempt whenever it is made.
func (g *generation) token(i int) string {
	if g.fault.Kind == FaultBad {
		return "bad "
	}
	return fmt.Sprintf("t%d ", i)
}

func (g *generation) id() string { return "chatcmpl-" + g.run.Attempt }

// echo returns the attempt that the answer claims to be to.
func (g *generation) echo() string {
	if g.fault.Kind == FaultCrossed {
		return "somebody-else-1"
	}
	return g.run.Attempt
}

// pace waits for the next tokens; false means that the caller left.
func (g *generation) pace(r *http.Request, i int) bool {
	if i%pacedTogether != 0 {
		return true
	}
	return g.sleep(r, pacedTogether*g.engine.TokenTime)
}

func (g *generation) cutNow(i int) bool {
	return g.fault.Kind == FaultCut && i >= g.fault.After
}

// cut breaks the connection.
func (g *generation) cut(tokens int) {
	g.engine.Book.tokens(g.run, tokens)
	g.engine.Book.end(g.run, "cut")
	if g.fault.Resumable {
		cutRuns.put(g)
	}
	panic(http.ErrAbortHandler)
}

func (g *generation) stream(w http.ResponseWriter, r *http.Request, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Attempt-Id", g.echo())
	control := http.NewResponseController(w)
	control.Flush()
	n := g.request.Tokens
	for i := from; i < n; i++ {
		if g.cutNow(i) {
			g.cut(i)
		}
		if !g.pace(r, i) {
			g.engine.Book.tokens(g.run, i)
			g.engine.Book.end(g.run, "cancelled")
			return
		}
		fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`+"\n\n", g.id(), g.request.Model, g.token(i))
		if control.Flush() != nil {
			g.engine.Book.tokens(g.run, i)
			g.engine.Book.end(g.run, "cancelled")
			return
		}
	}
	fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`+"\n\n", g.id(), g.request.Model)
	fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`+"\n\n", g.id(), g.request.Model, g.run.Input, n)
	fmt.Fprint(w, "data: [DONE]\n\n")
	g.engine.Book.tokens(g.run, n)
	g.engine.Book.end(g.run, "whole")
}

func (g *generation) whole(w http.ResponseWriter, r *http.Request) {
	var text strings.Builder
	n := g.request.Tokens
	for i := range n {
		if g.cutNow(i) {
			w.Header().Set("Attempt-Id", g.echo())
			w.Header().Set("Content-Length", "1000000")
			fmt.Fprint(w, `{"id":`)
			http.NewResponseController(w).Flush()
			g.cut(i)
		}
		if !g.pace(r, i) {
			g.engine.Book.tokens(g.run, i)
			g.engine.Book.end(g.run, "cancelled")
			return
		}
		text.WriteString(g.token(i))
	}
	w.Header().Set("Attempt-Id", g.echo())
	g.engine.Book.tokens(g.run, n)
	g.engine.Book.end(g.run, "whole")
	writeJSON(w, map[string]any{
		"id":     g.id(),
		"object": "chat.completion",
		"model":  g.request.Model,
		"choices": []any{map[string]any{
			"index":         0,
			"message":       map[string]any{"role": "assistant", "content": text.String()},
			"finish_reason": "stop",
		}},
		"usage": map[string]any{"prompt_tokens": g.run.Input, "completion_tokens": n},
	})
}
