package fleet

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// logBuffer keeps log lines that several goroutines write.
type logBuffer struct {
	mu   sync.Mutex // guards text
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) has(part string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), part)
}

// The first voters may be started apart: each waits, says for whom, and is not
// ready; when all have come they go on.
func TestFirstVotersStartedApart(t *testing.T) {
	log := &logBuffer{}
	f := &Fleet{
		Folder: t.TempDir(),
		Log:    zerolog.New(log),
	}
	if err := f.prepare(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	for _, step := range []struct {
		vm      string
		missing string
	}{
		{
			vm:      "vm-a",
			missing: `"missing":["vm-b","vm-c"]`,
		},
		{
			vm:      "vm-c",
			missing: `"missing":["vm-b"]`,
		},
	} {
		if err := f.Launch(step.vm); err != nil {
			t.Fatal(err)
		}
		for !log.has(step.missing) {
			time.Sleep(10 * time.Millisecond)
		}
		response, err := http.Get("http://" + f.Operator(step.vm).String() + "/readyz")
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("%s is ready alone", step.vm)
		}
	}
	if err := f.Launch("vm-b"); err != nil {
		t.Fatal(err)
	}
	for _, vm := range f.Names() {
		if err := f.AwaitReady(t.Context(), vm); err != nil {
			t.Fatal(err)
		}
	}
}

// A VM that waits for the others knows no settings: it judges no key, model or
// path, and it stops without harm although its logs were never opened.
func TestStopBeforeTheOthersCome(t *testing.T) {
	f := &Fleet{
		Folder: t.TempDir(),
		Log:    zerolog.Nop(),
	}
	if err := f.prepare(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	if err := f.Launch("vm-a"); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"/v1/chat/completions", "/services/stock/x"} {
		r, err := http.NewRequest(http.MethodPost, "http://"+f.Caller("vm-a").String()+path, strings.NewReader(`{"model": "auto", "messages": []}`))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer relay-key")
		response, err := http.DefaultClient.Do(r)
		for err != nil { // it does not listen yet
			time.Sleep(10 * time.Millisecond)
			if r.Body, err = r.GetBody(); err != nil {
				t.Fatal(err)
			}
			response, err = http.DefaultClient.Do(r)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
			t.Errorf("%s: status %d, come back after %q", path, response.StatusCode, response.Header.Get("Retry-After"))
		}
	}
	if err := f.Stop("vm-a"); err != nil {
		t.Fatal(err)
	}
}
