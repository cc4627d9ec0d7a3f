package cli

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// A name goes to the operators' API as it was typed, whatever it holds: a slip must not
// become an order about something else.
func TestOrdersNameWhatWasTyped(t *testing.T) {
	var asked string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.Method + " " + r.URL.EscapedPath()
		io.WriteString(w, "{}")
	}))
	defer server.Close()
	t.Setenv(keyVariable, "key")
	on := change{
		target: target{
			operator: strings.TrimPrefix(server.URL, "http://"),
		},
	}
	tests := []struct {
		command interface {
			run(context.Context, *environment) error
		}
		want string
	}{
		{&withdraw{change: on, version: "small@2"}, "POST /v1/withdraw/small@2"},
		{&withdraw{change: on, version: "small@2/../../drain/vm-a"}, "POST /v1/withdraw/small@2%2F..%2F..%2Fdrain%2Fvm-a"},
		{&drain{change: on, vm: "vm-a?vm=b"}, "POST /v1/drain/vm-a%3Fvm=b"},
		{&drain{change: on, vm: "vm-a", undo: true}, "POST /v1/undrain/vm-a"},
		{&evacuate{change: on, dataCentre: "west hall"}, "POST /v1/evacuate/west%20hall"},
		{&evacuate{change: on, dataCentre: "west", end: true}, "POST /v1/readmit/west"},
	}
	for _, tt := range tests {
		asked = ""
		err := tt.command.run(context.Background(), &environment{
			out: &bytes.Buffer{},
		})
		if err != nil || asked != tt.want {
			t.Errorf("%q, want %q: %v", asked, tt.want, err)
		}
	}
}
