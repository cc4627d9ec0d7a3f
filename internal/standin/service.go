package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
)

// Service plays a plain service: it answers any call with a small document.
type Service struct {
	Book   Book
	faults faults
}

// Handler returns the service's HTTP handler.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.call)
	mux.HandleFunc("GET /v1/load", s.load)
	mux.HandleFunc("GET /v1/attempts", func(w http.ResponseWriter, r *http.Request) { s.attempts(w, r) })
	mux.HandleFunc("GET /standin/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Book.Runs()) })
	mux.HandleFunc("GET /standin/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, []Order{}) })
	mux.HandleFunc("POST /standin/fault", s.faults.serve)
	return mux
}

// SetFault makes the service fail.
func (s *Service) SetFault(f Fault) { s.faults.set(f) }

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body) // or net/http does not notice a caller who leaves
	run := s.Book.begin(Run{
		Request:      r.Header.Get("Request-Id"),
		Attempt:      r.Header.Get("Attempt-Id"),
		Key:          r.Header.Get("Idempotency-Key"),
		Method:       r.Method,
		Path:         r.URL.Path,
		Organisation: r.Header.Get("Organisation"),
	})
	attempt := run.Attempt
	switch f := s.faults.take("", run.Organisation); f.Kind {
	case FaultErrors:
		s.Book.end(run, "error")
		http.Error(w, "service fault", http.StatusInternalServerError)
		return
	case FaultHang:
		<-r.Context().Done()
		s.Book.end(run, "cancelled")
		return
	case FaultCut:
		s.Book.end(run, "cut")
		panic(http.ErrAbortHandler)
	case FaultCrossed:
		attempt = "somebody-else-1"
	}
	w.Header().Set("Attempt-Id", attempt)
	s.Book.end(run, "whole")
	writeJSON(w, map[string]any{
		"method":  r.Method,
		"path":    r.URL.Path,
		"request": run.Request,
		"done":    true,
	})
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, map[string]any{
		"sequence": 1,
		"slots":    defaultSlots,
		"leaving":  s.faults.leaving(),
	})
}

func (s *Service) attempts(w http.ResponseWriter, r *http.Request) {
	list := []map[string]any{}
	for _, n := range s.Book.Runs() {
		if n.Request == r.URL.Query().Get("request") {
			list = append(list, map[string]any{
				"attempt": n.Attempt,
				"ended":   n.End,
			})
		}
	}
	writeJSON(w, list)
}

// Rater plays the service that rates answers. A question with the word "hard"
// is too hard for the small model.
type Rater struct {
	faults faults
}

// Ratings that the stand-in gives.
const (
	ratingGood = 0.9
	ratingPoor = 0.4
	ratingBad  = 0.1
)

// Handler returns the rater's HTTP handler.
func (s *Rater) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rate", s.rate)
	mux.HandleFunc("GET /standin/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, []Run{}) })
	mux.HandleFunc("GET /standin/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, []Order{}) })
	mux.HandleFunc("POST /standin/fault", s.faults.serve)
	return mux
}

func (s *Rater) rate(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Question string `json:"question"`
		Answer   string `json:"answer"`
		Version  string `json:"version"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, "not JSON", http.StatusBadRequest)
		return
	}
	switch s.faults.take("", "").Kind {
	case FaultErrors:
		http.Error(w, "rater fault", http.StatusInternalServerError)
		return
	case FaultHang:
		<-r.Context().Done()
		return
	}
	rating := ratingGood
	switch {
	case strings.Contains(body.Answer, "bad "):
		rating = ratingBad
	case strings.Contains(body.Question, "hard") && strings.HasPrefix(body.Version, "small"):
		rating = ratingPoor
	}
	writeJSON(w, map[string]any{"rating": rating})
}

// Platform plays the list of live and leaving VMs.
type Platform struct {
	mu   sync.Mutex // guards list
	list []Machine
}

// Machine is one VM of the list.
type Machine struct {
	Address string `json:"address"`
	State   string `json:"state"` // live or leaving
}

// Handler returns the platform's HTTP handler.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		writeJSON(w, append([]Machine{}, p.list...))
	})
	mux.HandleFunc("POST /standin/vms", func(w http.ResponseWriter, r *http.Request) {
		var list []Machine
		if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
			http.Error(w, "not a list", http.StatusBadRequest)
			return
		}
		p.Set(list)
		writeJSON(w, list)
	})
	mux.HandleFunc("GET /standin/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, []Run{}) })
	mux.HandleFunc("GET /standin/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, []Order{}) })
	return mux
}

// Set replaces the list.
func (p *Platform) Set(list []Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = list
}

// Weights plays the weight store, which serves a bounded number of fetches at
// once and refuses more.
type Weights struct {
	AtOnce int // 0 is 2

	mu  sync.Mutex // guards now
	now int
}

const defaultFetches = 2

// Handler returns the weight store's HTTP handler.
func (s *Weights) Handler() http.Handler {
	if s.AtOnce == 0 {
		s.AtOnce = defaultFetches
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{version}", s.fetch)
	mux.HandleFunc("GET /standin/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, []Run{}) })
	mux.HandleFunc("GET /standin/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, []Order{}) })
	return mux
}

func (s *Weights) fetch(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	full := s.now >= s.AtOnce
	if !full {
		s.now++
	}
	s.mu.Unlock()
	if full {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many fetches", http.StatusTooManyRequests)
		return
	}
	defer func() {
		s.mu.Lock()
		s.now--
		s.mu.Unlock()
	}()
	writeJSON(w, map[string]any{"version": r.PathValue("version")})
}
