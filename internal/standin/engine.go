package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Defaults of an engine.
const (
	defaultTokens = 16
	defaultSlots  = 16
	pacedTogether = 10 // tokens that one sleep paces
	bytesPerToken = 4
	cacheBlock    = 256 // bytes
)

// Engine plays a model engine: it batches up to its slots, queues beyond,
// caches the beginnings of prompts, paces its tokens and reports its load.
// The exported fields are set before Handler.
type Engine struct {
	Versions  []string
	Slots     int           // 0 is 16
	TokenTime time.Duration // between tokens of one run
	Prefill   time.Duration // for each KiB of prompt that is not cached
	Fencing   bool          // refuses orders with an old number
	LoadTime  time.Duration // from the order to load a version until it is held
	// Crash is called with the prompt of each run that begins. Where it returns true,
	// it has ended the engine: there is no answer. May be nil.
	Crash func(prompt string) bool

	Book   Book
	faults faults
	slots  chan struct{}

	mu       sync.Mutex // guards all below
	running  int
	waiting  int
	sequence uint64
	born     int64 // Unix milliseconds, of the first report
	cache    map[string]bool
	orders   []Order
	fence    uint64
}

// Order is an order that an engine got.
type Order struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"` // load, unload or role
	Version string `json:"version"`
	Taken   bool   `json:"taken"`
}

// Handler returns the engine's HTTP handler.
func (e *Engine) Handler() http.Handler {
	if e.Slots == 0 {
		e.Slots = defaultSlots
	}
	e.slots = make(chan struct{}, e.Slots)
	e.cache = map[string]bool{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /v1/load", e.load)
	mux.HandleFunc("GET /v1/attempts", e.attempts)
	mux.HandleFunc("GET /v1/attempts/{id}/stream", e.resume)
	mux.HandleFunc("POST /v1/orders", e.order)
	mux.HandleFunc("GET /standin/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Book.Runs()) })
	mux.HandleFunc("GET /standin/orders", e.listOrders)
	mux.HandleFunc("POST /standin/fault", e.faults.serve)
	return mux
}

// SetFault makes the engine fail.
func (e *Engine) SetFault(f Fault) { e.faults.set(f) }

type chatRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Tokens   int    `json:"max_tokens"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (c *chatRequest) prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var c chatRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, "not JSON", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	loaded := slices.Contains(e.Versions, c.Model)
	e.mu.Unlock()
	if !loaded {
		w.Header().Set("Run", "not-run")
		http.Error(w, "version not loaded", http.StatusNotFound)
		return
	}
	if c.Tokens == 0 {
		c.Tokens = defaultTokens
	}
	model, _, _ := strings.Cut(c.Model, "@")
	run := e.Book.begin(Run{
		Request:      r.Header.Get("Request-Id"),
		Attempt:      r.Header.Get("Attempt-Id"),
		Key:          r.Header.Get("Idempotency-Key"),
		Model:        model,
		Version:      c.Model,
		Organisation: r.Header.Get("Organisation"),
		Input:        len(c.prompt()) / bytesPerToken,
	})
	fault := e.faults.take(c.Model, run.Organisation)
	if !e.enter(r) {
		e.Book.end(run, "cancelled")
		return
	}
	defer e.leave()
	if e.Crash != nil && e.Crash(c.prompt()) {
		e.Book.end(run, "crashed")
		return
	}
	if e.early(w, r, run, fault) {
		return
	}
	g := &generation{
		engine:  e,
		run:     run,
		request: c,
		fault:   fault,
	}
	if !g.prefill(r) {
		e.Book.end(run, "cancelled")
		return
	}
	if c.Stream {
		g.stream(w, r, 0)
		return
	}
	g.whole(w, r)
}

// enter waits for a slot; false means that the caller left meanwhile.
func (e *Engine) enter(r *http.Request) bool {
	e.mu.Lock()
	e.waiting++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
	}()
	select {
	case e.slots <- struct{}{}:
		e.mu.Lock()
		e.running++
		e.mu.Unlock()
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) leave() {
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	<-e.slots
}

// early carries out the faults that come before any token.
func (e *Engine) early(w http.ResponseWriter, r *http.Request, run *Run, f Fault) bool {
	switch f.Kind {
	case FaultErrors:
		e.Book.end(run, "error")
		http.Error(w, "engine fault", http.StatusInternalServerError)
		return true
	case FaultHang:
		<-r.Context().Done()
		e.Book.end(run, "cancelled")
		return true
	}
	return false
}

// load answers the load report.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.sequence++
	if e.born == 0 {
		e.born = time.Now().UnixMilli()
	}
	report := map[string]any{
		"born":     e.born,
		"sequence": e.sequence,
		"running":  e.running,
		"waiting":  e.waiting,
		"slots":    e.Slots,
		"versions": slices.Clone(e.Versions),
		"leaving":  e.faults.leaving(),
	}
	e.mu.Unlock()
	writeJSON(w, report)
}

// attempts answers the record of a request's runs.
func (e *Engine) attempts(w http.ResponseWriter, r *http.Request) {
	list := []map[string]any{}
	for _, n := range e.Book.Runs() {
		if n.Request == r.URL.Query().Get("request") {
			list = append(list, map[string]any{
				"attempt": n.Attempt,
				"version": n.Version,
				"ended":   n.End,
				"input":   n.Input,
				"output":  n.Tokens,
			})
		}
	}
	writeJSON(w, list)
}

// resume continues a stream that was cut.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	run := e.Book.find(r.PathValue("id"))
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	g := e.resumable(run)
	e.mu.Unlock()
	if g == nil || err != nil || from > g.request.Tokens {
		http.Error(w, "cannot be resumed", http.StatusNotFound)
		return
	}
	g.fault = Fault{
		Kind: FaultNone,
	}
	g.stream(w, r, from)
}

func (e *Engine) resumable(run *Run) *generation {
	if run == nil {
		return nil
	}
	return cutRuns.get(run)
}

// order takes an order to load or unload a version.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "not an order", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	o.Taken = !e.Fencing || o.Fence >= e.fence
	e.orders = append(e.orders, o)
	if !o.Taken {
		http.Error(w, fmt.Sprintf("fencing number %d is older than %d", o.Fence, e.fence), http.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Kind {
	case "load":
		time.AfterFunc(e.LoadTime, func() { e.hold(o.Version, true) })
	case "unload":
		e.Versions = without(e.Versions, o.Version)
	}
	writeJSON(w, o)
}

// hold adds a version to those that the engine holds, or takes it away.
func (e *Engine) hold(version string, held bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Versions = without(e.Versions, version)
	if held {
		e.Versions = append(e.Versions, version)
	}
}

func without(versions []string, gone string) []string {
	return slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return v == gone })
}

// Holds reports whether the engine has loaded the version.
func (e *Engine) Holds(version string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.Versions, version)
}

// Orders returns the orders that the engine got.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, append([]Order{}, e.orders...))
}
