package settings

import (
	"strings"
	"testing"
	"time"
)

const siteFile = `{
  "name": "vm1", "datacentre": "a", "peer": "10.1.0.1:7340", "operator": "10.1.0.1:8229", "data": "data",
  "seeds": ["10.1.0.1:8229", "10.2.0.1:8229"], "founding": true, "losses": 2, "memory": 280,
  "list": {"address": "10.200.0.1:80", "rate": 40, "lag": "800ms"},
  "bounds": {"drain": "3000ms", "grace": "8s", "sessionIdle": "8.5s", "exposureShare": 0.15, "retryShare": 0.9}, // a comment
}`

func TestParseSite(t *testing.T) {
	s, err := ParseSite([]byte(siteFile), "/etc/site")
	if err != nil {
		t.Fatal(err)
	}
	if s.Data != "/etc/site/data" || !s.Founder() || s.Bounds.SessionIdle != 8500*time.Millisecond || s.List.Lag != 800*time.Millisecond {
		t.Errorf("read %+v", s)
	}
	if got := s.PeerOf(s.Seeds[1]).String(); got != "10.2.0.1:7340" {
		t.Errorf("the seed's peer address is %s", got)
	}
}

func TestSiteMistakes(t *testing.T) {
	tests := []struct {
		name string
		old  string
		new  string
		want string
	}{
		{"no name", `"name": "vm1", `, ``, `"name" is missing`},
		{"no peer", `"peer": "10.1.0.1:7340", `, ``, `"peer" is missing`},
		{"no seeds", `["10.1.0.1:8229", "10.2.0.1:8229"]`, `[]`, `"seeds" is missing`},
		{"no list", `"address": "10.200.0.1:80", `, ``, `"list.address" is missing`},
		{"no folder", `"data": "data",`, ``, `"data" is missing`},
		{"serves nobody", `"operator": "10.1.0.1:8229", `, ``, `would serve nobody`},
		{"no drain time", `"drain": "3000ms", `, ``, `"bounds.drain" is missing`},
		{"negative share", `0.15`, `-0.1`, `want a share of 0 or more`},
		{"unknown key", `"losses"`, `"loses"`, `loses`},
		{"wrong type", `"memory": 280`, `"memory": "x"`, `memory`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseSite([]byte(strings.Replace(siteFile, tt.old, tt.new, 1)), "")
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want %q", err, tt.want)
			}
		})
	}
}
