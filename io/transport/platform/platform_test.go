package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
)

// Guards against a damaged entry that hides those of VMs that are leaving, and against a list that was cut
// off and passes for a short one.
func TestDamagedEntryHidesNoLeavingVM(t *testing.T) {
	const first, second = `{"address":"10.0.0.1:80","state":"leaving"}`, `{"address":"10.0.0.2:80","state":"leaving"}`
	list := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, list) }))
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	for _, damaged := range []string{`{"address":"nowhere","state":"leaving"}`, `{"address":7}`, `null`, `{"address":"10.0.0.3:80","sta`, `"`, `{`, `]`, ``} {
		list = "[" + strings.Join([]string{first, damaged, second, damaged}, ",") + "]"
		leaving, err := Leaving(t.Context(), address)
		if err != nil || len(leaving) != 2 || !leaving[netip.MustParseAddrPort("10.0.0.1:80")] || !leaving[netip.MustParseAddrPort("10.0.0.2:80")] {
			t.Errorf("%s: %v, %v", damaged, leaving, err)
		}
	}
	for _, list = range []string{``, `[`, `[` + first, `[` + first + `,`, `[` + first + `,` + second[:20]} {
		if leaving, err := Leaving(t.Context(), address); err == nil {
			t.Errorf("a list that was cut off: %v: %s", leaving, list)
		}
	}
}
