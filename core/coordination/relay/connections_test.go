package relay

import (
	"testing"

	"persimmoncross"
	"persimmoncross/core/state/catalog"
)

// TestServiceIsDroppedWhileConnectionsAreCounted guards against a document that drops the service of a request in work ending the process.
func TestServiceIsDroppedWhileConnectionsAreCounted(t *testing.T) {
	e := newTestEnv()
	e.view.Catalog.Services[testService].MaxConns = 20
	dropped := *e.view
	dropped.Catalog = &catalog.Catalog{}
	c := &call{
		relay:   e.relay,
		service: testService,
	}
	for looks := range 4 { // after which the document is in force
		seen := 0
		e.relay.View = func() *View {
			if seen++; seen > looks {
				return &dropped
			}
			return e.view
		}
		if got := c.withConnections(e.targets); len(got) != len(e.targets) {
			t.Errorf("%d targets after %d looks, want all", len(got), looks)
		}
	}
}

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
