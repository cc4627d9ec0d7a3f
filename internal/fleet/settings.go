package fleet

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"strings"

	"persimmoncross/core/state/settings"
	"persimmoncross/io/transport/operator"
)

func writeOperators(path string) error {
	return os.WriteFile(path, []byte("local "+settings.HashKey(OperatorKey)+"\n"), 0o644)
}

// template is the fleet's settings file; NAME stands for a stand-in's address.
const template = `{
  "models": {
    "small": {"price": 1, "versions": {"1": {"weight": 100}, "2": {"weight": 0}}},
    "large": {"price": 12, "versions": {"1": {"weight": 100}}},
  },
  "cascades": {"auto": {"steps": ["small", "large"], "quality": 0.7}},
  "rollouts": {
    "small-2": {"model": "small", "from": "1", "to": "2", "stages": [10, 50, 100], "budget": 200},
  },
  "upstreams": {
    "engine-1": {"kind": "engine", "address": "<engine-1>", "datacentre": "hall-1", "versions": ["small@1"]},
    "engine-2": {"kind": "engine", "address": "<engine-2>", "datacentre": "hall-2", "versions": ["small@1", "small@2"]},
    "engine-3": {"kind": "engine", "address": "<engine-3>", "datacentre": "hall-3", "versions": ["small@1", "small@2"], "fencing": true},
    "engine-4": {"kind": "engine", "address": "<engine-4>", "datacentre": "hall-1", "versions": ["large@1"]},
    "engine-5": {"kind": "engine", "address": "<engine-5>", "datacentre": "hall-2", "versions": ["large@1"], "fencing": true},
    "stock-1": {"kind": "service", "address": "<stock-1>", "datacentre": "hall-1"},
    "slips-1": {"kind": "service", "address": "<slips-1>", "datacentre": "hall-2"},
  },
  "rater": "<rater>",
  "platform": "<platform>",
  "fleet": {
    "rate": 100000, "burst": 100000, "concurrency": 10000, "deadline": "1m",
    "organisations": {
      "relay": {"keys": ["<relay-key>"], "allow": ["small", "large", "auto"], "services": ["stock", "slips"]},
      "desk": {"keys": ["<desk-key>"], "allow": ["small", "large", "auto"], "deny": ["large@1"], "services": ["stock"]},
    },
    "callable": {
      "stock": {"upstreams": ["stock-1"], "once": ["POST /deposit"]},
      "slips": {"upstreams": ["slips-1"]},
    },
  },
}
`

// Settings returns the fleet's settings file.
func (f *Fleet) Settings() string {
	text := template
	for name, a := range f.addresses {
		text = strings.ReplaceAll(text, "<"+name+">", a.String())
	}
	text = strings.ReplaceAll(text, "<relay-key>", settings.HashKey(RelayKey))
	return strings.ReplaceAll(text, "<desk-key>", settings.HashKey(DeskKey))
}

// Apply takes a settings file into force at a VM.
func (f *Fleet) Apply(ctx context.Context, name, file, change, revision string) (operator.ApplyResult, error) {
	var result operator.ApplyResult
	query := url.Values{
		"change": {change},
	}
	if revision != "" {
		query.Set("if-revision", revision)
	}
	err := f.Client(name).Post(ctx, "/v1/settings", query, []byte(file), &result)
	return result, err
}

// Withdraw withdraws a version at a VM.
func (f *Fleet) Withdraw(ctx context.Context, name, version, change string) (operator.ApplyResult, error) {
	var result operator.ApplyResult
	query := url.Values{
		"change": {change},
	}
	err := f.Client(name).Post(ctx, "/v1/withdraw/"+version, query, nil, &result)
	return result, err
}

// Evacuate keeps new work from a data centre's upstreams, or ends that, at a VM.
func (f *Fleet) Evacuate(ctx context.Context, name, dataCentre string, end bool, change string) (operator.ApplyResult, error) {
	var result operator.ApplyResult
	query := url.Values{
		"change": {change},
	}
	path := "/v1/evacuate/"
	if end {
		path = "/v1/readmit/"
	}
	err := f.Client(name).Post(ctx, path+dataCentre, query, nil, &result)
	return result, err
}

// Status returns the fleet as the VM sees it.
func (f *Fleet) Status(ctx context.Context, name string) (operator.StatusResult, error) {
	var result operator.StatusResult
	err := f.Client(name).Get(ctx, "/v1/status", nil, &result)
	return result, err
}

// Bills returns the settled requests, as a VM knows them.
func (f *Fleet) Bills(ctx context.Context, name string) ([]operator.BillResult, error) {
	var all []operator.BillResult
	after := uint64(0)
	for {
		var page []operator.BillResult
		query := url.Values{
			"after": {fmt.Sprint(after)},
		}
		if err := f.Client(name).Get(ctx, "/v1/bills", query, &page); err != nil {
			return nil, err
		}
		if len(page) == 0 {
			return all, nil
		}
		all = append(all, page...)
		after = page[len(page)-1].Serial
	}
}
