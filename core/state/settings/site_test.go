package settings

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"persimmoncross"
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

// A site file without an overload section gets the defaults, and the policy follows from the file
// and from whether the platform declares overload.
func TestSiteOverload(t *testing.T) {
	tests := []struct {
		name     string
		section  string
		declared bool
		want     persimmoncross.OverloadPolicy
	}{
		{"left out", ``, false, persimmoncross.OverloadPolicy{
			Mode:         persimmoncross.OverloadAuto,
			MaxQueued:    128,
			MaxHeldBytes: 35 << 20,
		}},
		{"declared", `"overload": {"conditions": ["a"]},`, true, persimmoncross.OverloadPolicy{
			Mode:         persimmoncross.OverloadAuto,
			Declared:     true,
			MaxQueued:    128,
			MaxHeldBytes: 35 << 20,
		}},
		{"all given", `"overload": {"mode": "on", "omit": ["recall"], "requests": 10, "memory": 3},`, false, persimmoncross.OverloadPolicy{
			Mode:         persimmoncross.OverloadOn,
			Omit:         []persimmoncross.OverloadPart{persimmoncross.OverloadRecall},
			MaxQueued:    10,
			MaxHeldBytes: 3 << 20,
		}},
	}
	for _, tt := range tests {
		s, err := ParseSite([]byte(strings.Replace(siteFile, `"list":`, tt.section+`"list":`, 1)), "")
		if err != nil {
			t.Errorf("%s: %v", tt.name, err)
			continue
		}
		if got := s.Overload.Policy(tt.declared); !reflect.DeepEqual(got, tt.want) {
			t.Errorf("%s: policy %+v, want %+v", tt.name, got, tt.want)
		}
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
		{"unknown overload mode", `"list":`, `"overload": {"mode": "maybe"}, "list":`, `want on, off or auto, found "maybe"`},
		{"unknown overload part", `"list":`, `"overload": {"omit": ["queues"]}, "list":`, `no part is named "queues"`},
		{"negative queue", `"list":`, `"overload": {"requests": -1}, "list":`, `want a number of 0 or more, found -1`},
		{"negative memory for overload", `"list":`, `"overload": {"memory": -1}, "list":`, `want a number of 0 or more, found -1`},
		{"unknown key", `"losses"`, `"loses"`, `loses`},
		{"host with a port", `"losses"`, `"upstreamvia": {"10.9.0.1": "10.8.0.1:80"}, "losses"`, `want an IP address without a port`},
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
