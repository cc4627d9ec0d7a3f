package standin

import (
	"sync"
	"time"
)

// Run is one run that a stand-in began.
type Run struct {
	Request      string     `json:"request"`
	Attempt      string     `json:"attempt"`
	Key          string     `json:"key,omitempty"`
	Model        string     `json:"model,omitempty"`
	Version      string     `json:"version,omitempty"`
	Method       string     `json:"method,omitempty"`
	Path         string     `json:"path,omitempty"`
	Organisation string     `json:"organisation"`
	Began        time.Time  `json:"began"`
	Ended        *time.Time `json:"ended,omitempty"`
	End          string     `json:"end,omitempty"` // whole, cancelled, cut, error
	Input        int        `json:"input"`
	Tokens       int        `json:"tokens"`
}

// Book lists every run in the order of their beginnings.
type Book struct {
	mu   sync.Mutex // guards runs
	runs []*Run
}

// begin adds a run.
func (b *Book) begin(r Run) *Run {
	r.Began = time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, &r)
	return &r
}

// Add adds a run that has ended, for a test, and returns it.
func (b *Book) Add(r Run) Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, &r)
	return r
}

func (b *Book) tokens(r *Run, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.Tokens = n
}

func (b *Book) end(r *Run, how string) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	r.Ended = &now
	r.End = how
}

// Runs returns a copy of the book.
func (b *Book) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Run, len(b.runs))
	for i, r := range b.runs {
		list[i] = *r
	}
	return list
}

// find returns the run of the attempt, nil if there is none.
func (b *Book) find(attempt string) *Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.runs {
		if r.Attempt == attempt {
			return r
		}
	}
	return nil
}
