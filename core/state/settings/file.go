// Package settings holds the one tree of settings that the whole fleet shares:
// its file format, its checks, the values that each branch inherits, and the
// replicated state machine that accepts changes to it.
//
// A file is JSON with comments. Its catalogue (models, cascades, upstreams,
// roll-outs) is common; its tree is fleet → organisations and services → their
// branches, and each branch inherits from its parent what it does not set.
package settings

import (
	"net/netip"
	"time"
)

// File is a settings file as written.
type File struct {
	Models    map[string]*Model    `json:"models" doc:"The models and their versions, by name."`
	Cascades  map[string]*Cascade  `json:"cascades" doc:"Cascades from cheap to strong, by name. A caller names a cascade where it would name a model."`
	Upstreams map[string]*Upstream `json:"upstreams" doc:"The engines and the plain services' processes, by name."`
	Rollouts  map[string]*Rollout  `json:"rollouts" doc:"Roll-outs of new versions, by name."`
	Loads     int                  `json:"loads" doc:"Engines that are ordered to load a version at once, as the weight store allows; 0 is 2."`
	Rater     *netip.AddrPort      `json:"rater" doc:"Address of the service that rates answers."`
	Platform  *netip.AddrPort      `json:"platform" doc:"Address of the platform's list of live and leaving VMs."`
	Fleet     *Branch              `json:"fleet" doc:"The root of the tree."`
}

// Model is a model of the catalogue.
type Model struct {
	Price    float64                `json:"price" doc:"Cost of 1000 generated tokens, in the operator's unit."`
	Versions map[string]*ModelEntry `json:"versions" doc:"The versions, by the name that follows the @."`
}

// ModelEntry is one version of a model.
type ModelEntry struct {
	Weight int `json:"weight" doc:"Share of new sessions, in per cent; a model's weights sum to 100."`
}

// Cascade is an ordered list of models.
type Cascade struct {
	Steps   []string `json:"steps" doc:"Models or pinned versions, cheapest first."`
	Quality *float64 `json:"quality" doc:"The rating, 0 to 1, below which the next step is tried. Overrides the branch's."`
}

// Upstream is an engine or a process of a plain service.
type Upstream struct {
	Kind       string         `json:"kind" doc:"engine or service."`
	Address    netip.AddrPort `json:"address" doc:"Where it listens."`
	DataCentre string         `json:"datacentre" doc:"The data centre it stands in."`
	Versions   []string       `json:"versions" doc:"An engine's versions, each model@version. One that reports what it holds is ordered to load and unload until it holds these."`
	Slots      int            `json:"slots" doc:"Requests it serves at once before they queue; 0 is 16."`
	Fencing    bool           `json:"fencing" doc:"Whether it refuses an order with an old fencing number. One that does not is ordered only after a former leader's lease."`
	Blind      bool           `json:"blind" doc:"Whether it does not echo Attempt-Id, so that a crossed answer can't be told."`
}

// Rollout replaces one version of a model by another, in stages.
type Rollout struct {
	Model  string  `json:"model" doc:"The model."`
	From   string  `json:"from" doc:"The version to replace."`
	To     string  `json:"to" doc:"The new version."`
	Stages []int   `json:"stages" doc:"Shares of new work for the new version, in per cent, rising to 100."`
	Budget int     `json:"budget" doc:"Requests that may meet the new version in each stage before it is judged."`
	Margin float64 `json:"margin" doc:"Excess failure rate, 0 to 1, that makes the version bad; 0 is 0.02."`
}

// Policy is what branches inherit. A nil field is inherited.
type Policy struct {
	Allow       []string       `json:"allow" doc:"Models, versions and cascades that may be used. A model allows its versions; a cascade allows itself, and runs only those of its steps that are allowed too."`
	Deny        []string       `json:"deny" doc:"Models and versions that may not be used although allowed."`
	Services    []string       `json:"services" doc:"Plain services that may be called."`
	Rate        *float64       `json:"rate" doc:"Requests a second, over the fleet."`
	Burst       *int           `json:"burst" doc:"Requests that may come at once, over the fleet."`
	Concurrency *int           `json:"concurrency" doc:"Requests that may run at once, over the fleet."`
	Body        *int           `json:"body" doc:"Largest request body, in bytes."`
	Deadline    *time.Duration `json:"deadline" doc:"Longest time for one request; a caller may ask for less."`
	Stall       *time.Duration `json:"stall" doc:"Longest silence of an upstream before the attempt is given up."`
	Idempotent  *bool          `json:"idempotent" doc:"Whether chat requests may be run again when an upstream fails."`
	Quality     *float64       `json:"quality" doc:"Rating, 0 to 1, that a cascade's answer must reach."`
	Priority    *int           `json:"priority" doc:"0 is background, 1 normal, 2 urgent."`
	Idle        *time.Duration `json:"idle" doc:"Time after which an unused session is forgotten."`
	Attempts    *int           `json:"attempts" doc:"Most attempts for one request."`
	Retries     *float64       `json:"retries" doc:"Retries allowed as a share of the requests of the last 10 s, 0 to 1; ten over the fleet are allowed beside them."`
}

// Branch is a node of the tree.
type Branch struct {
	Policy
	Keys          []string            `json:"keys" doc:"Hashes of the bearer keys, each sha256: and 64 hexadecimal digits; see the command hash."`
	Organisations map[string]*Branch  `json:"organisations" doc:"At the fleet only: the organisations."`
	Callable      map[string]*Service `json:"callable" doc:"At the fleet only: the plain services."`
	Branches      map[string]*Branch  `json:"branches" doc:"Below an organisation: its branches."`
}

// Service is a plain service.
type Service struct {
	Policy
	Upstreams []string `json:"upstreams" doc:"Its processes."`
	Once      []string `json:"once" doc:"Calls that may not be repeated, each a method and a path pattern, such as \"POST /deposit\"; a pattern's end may be *."`
}

// defaults are the values of what not even the fleet sets.
var defaults = Policy{
	Rate:        new(100.0),
	Burst:       new(200),
	Concurrency: new(64),
	Body:        new(1 << 20),
	Deadline:    new(2 * time.Minute),
	Stall:       new(15 * time.Second),
	Idempotent:  new(true),
	Quality:     new(0.7),
	Priority:    new(1),
	Idle:        new(30 * time.Minute),
	Attempts:    new(3),
	Retries:     new(0.1),
}

// hasDataCentre reports whether an upstream stands in the data centre.
func (f *File) hasDataCentre(name string) bool {
	for _, u := range f.Upstreams {
		if u.DataCentre == name {
			return true
		}
	}
	return false
}
