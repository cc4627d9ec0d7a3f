package relay

import (
	"testing"

	"persimmoncross"
)

// Guards against requests that spend their attempts on upstreams to which no connection is free.
func TestRequestGoesWhereConnectionsAreFree(t *testing.T) {
	tests := []struct {
		name     string
		full     int // targets with all connections in use
		attempts int
		refusal  persimmoncross.Code
	}{
		{"one is free", 3, 1, ""},
		{"none is free", 4, 0, persimmoncross.CodeOverloaded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newTestEnv(okResponse("x"))
			e.view.Catalog.Services[testService].MaxConns = 20
			e.view.EntryCount = 6
			for _, u := range e.targets[:tt.full] {
				u.inFlight.Store(3)
			}
			refusal := e.serve(t, "once", nil)
			if got := len(e.forwarder.attempts); got != tt.attempts {
				t.Errorf("got %d attempts, want %d", got, tt.attempts)
			}
			if tt.refusal == "" {
				if refusal != nil {
					t.Error(refusal)
				}
				return
			}
			if refusal == nil || refusal.Code != tt.refusal || refusal.Run != persimmoncross.NotRun {
				t.Errorf("refusal %v, want %s", refusal, tt.refusal)
			}
		})
	}
}
