package fleet

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"persimmoncross/internal/standin"
)

// knownAfter is the time after the third end under a request by which all VMs know
// of it.
const knownAfter = 3 * time.Second

// endings counts the engines that a request has ended.
type endings struct {
	mu      sync.Mutex // guards all below
	servers []*http.Server
	runs    int
	late    time.Time // runs are counted after it
}

func (e *endings) ran() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().After(e.late) {
		e.runs++
	}
}

// Callers of the own interface met the same as those of the platform: a request
// that ended each engine which ran it was tried three times by each VM, for every
// copy. Here it ends engines at all VMs; after the time in which all have to know,
// no copy reaches one, and other questions are answered.
func TestRequestThatEndsEngines(t *testing.T) {
	ends := &endings{}
	f := &Fleet{
		Folder: t.TempDir(),
	}
	made := 0
	f.Engine = func(e *standin.Engine) {
		n := made
		made++
		e.Crash = func(prompt string) bool {
			if !strings.HasPrefix(prompt, "poison") {
				return false
			}
			ends.ran()
			ends.crash(t, f, n)
			return true
		}
	}
	if err := f.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	ends.mu.Lock()
	ends.servers = slices.Clone(f.servers[:made])
	ends.mu.Unlock()
	t.Cleanup(ends.close)
	call := func(vm, text string) Reply {
		return f.must(t, Call{
			VM:     vm,
			Key:    RelayKey,
			Model:  "small@1",
			Text:   text,
			Tokens: 8,
		})
	}
	for range 2 {
		for _, vm := range f.Names() {
			call(vm, "poison")
			time.Sleep(downTime) // the engines are back
		}
	}
	ends.mu.Lock()
	if ends.runs < 3 {
		t.Errorf("%d engines were ended", ends.runs)
	}
	ends.runs = 0
	ends.late = time.Now().Add(knownAfter)
	ends.mu.Unlock()
	time.Sleep(knownAfter)
	for range 3 {
		for _, vm := range f.Names() {
			if r := call(vm, "poison"); r.Status != http.StatusServiceUnavailable || r.Problem.Run != "not-run" || r.Header.Get("Retry-After") == "" {
				t.Errorf("%s: %d %+v", vm, r.Status, r.Problem)
			}
			time.Sleep(downTime / 2)
		}
	}
	ends.mu.Lock()
	defer ends.mu.Unlock()
	if ends.runs > 3 {
		t.Errorf("engines ran it %d times more", ends.runs)
	}
	for _, vm := range f.Names() {
		if r := call(vm, "another question"); !r.Whole {
			t.Errorf("%s: another question: %d %+v", vm, r.Status, r.Problem)
		}
	}
}

// downTime is well over the time in which an engine of these tests is back.
const downTime = 500 * time.Millisecond

// crash ends an engine with all its connections, and starts it again at its address.
func (e *endings) crash(t *testing.T, f *Fleet, n int) {
	e.mu.Lock()
	old := e.servers[n]
	e.servers[n] = nil
	e.mu.Unlock()
	if old == nil {
		return // it has ended already
	}
	old.Close()
	time.AfterFunc(downTime/2, func() {
		for t.Context().Err() == nil {
			l, err := net.Listen("tcp", f.Address(engines[n].name).String())
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			s := &http.Server{
				Handler: old.Handler,
			}
			e.mu.Lock()
			e.servers[n] = s
			e.mu.Unlock()
			go s.Serve(l)
			return
		}
	})
}

func (e *endings) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.servers {
		if s != nil {
			s.Close()
		}
	}
}
