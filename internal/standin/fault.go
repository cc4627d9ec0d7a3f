package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
)

// The kinds of fault.
const (
	FaultNone    = "none"
	FaultErrors  = "errors"  // answers 500 after the run began
	FaultSlow    = "slow"    // everything takes Factor times as long
	FaultHang    = "hang"    // never answers
	FaultCut     = "cut"     // cuts the connection after After tokens
	FaultBad     = "bad"     // whole answers of bad quality
	FaultCrossed = "crossed" // answers as if to another attempt
	FaultLeaving = "leaving" // says that it leaves, but still takes work
)

var faultKinds = []string{FaultNone, FaultErrors, FaultSlow, FaultHang, FaultCut, FaultBad, FaultCrossed, FaultLeaving}

// Fault is how a stand-in fails.
type Fault struct {
	Kind         string  `json:"kind"`
	Count        int     `json:"count"`        // runs it hits; 0 is all
	After        int     `json:"after"`        // tokens before a cut
	Factor       float64 `json:"factor"`       // of slow; 0 is 10
	Version      string  `json:"version"`      // only this one; "" is all
	Organisation string  `json:"organisation"` // only its runs; "" is all
	Resumable    bool    `json:"resumable"`    // a cut run can be resumed
}

// faults holds the fault in force.
type faults struct {
	mu   sync.Mutex // guards both
	now  Fault
	hits int
}

// take returns the fault that hits a run.
func (f *faults) take(version, organisation string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	spent := f.now.Count > 0 && f.hits >= f.now.Count
	other := f.now.Version != "" && f.now.Version != version || f.now.Organisation != "" && f.now.Organisation != organisation
	if f.now.Kind == "" || spent || other {
		return Fault{
			Kind: FaultNone,
		}
	}
	f.hits++
	return f.now
}

func (f *faults) leaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now.Kind == FaultLeaving
}

func (f *faults) set(next Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = next
	f.hits = 0
}

func (f *faults) serve(w http.ResponseWriter, r *http.Request) {
	var next Fault
	if err := json.NewDecoder(r.Body).Decode(&next); err != nil || !slices.Contains(faultKinds, next.Kind) {
		http.Error(w, "want a kind of fault", http.StatusBadRequest)
		return
	}
	f.set(next)
	writeJSON(w, next)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
