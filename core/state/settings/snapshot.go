package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"

	"persimmoncross"
)

// defaultSlots is the number of requests an engine serves at once if its
// settings don't say.
const defaultSlots = 16

// Organisation is an organisation, or a branch of one, with every value
// resolved.
type Organisation struct {
	Name        string // "relay" or "relay/zarqa"
	Versions    map[persimmoncross.ModelVersion]bool
	Cascades    map[string]bool
	Services    map[string]bool
	Rate        float64
	Burst       int
	Concurrency int
	Body        int
	Deadline    time.Duration
	Stall       time.Duration
	Idempotent  bool
	Quality     float64
	Priority    int
	Idle        time.Duration
	Attempts    int
	Retries     float64
}

// ResolvedService is a plain service with every value resolved.
type ResolvedService struct {
	Name      string
	Upstreams []string
	Once      []string
	Deadline  time.Duration
	Stall     time.Duration
	Body      int
	Attempts  int
}

// Snapshot is one revision of the settings, resolved. It never changes.
type Snapshot struct {
	Revision  uint64
	File      *File
	Source    []byte
	Withdrawn map[persimmoncross.ModelVersion]bool
	Drained   map[string]bool // VMs
	Evacuated map[string]bool // data centres whose upstreams get no new work
	Stages    map[string]Stage
	Services  map[string]*ResolvedService

	keys  map[[sha256.Size]byte]*Organisation
	named map[string]*Organisation
}

// Stage is how far a roll-out has come.
type Stage struct {
	Index   int
	Verdict string // "", "done" or "back"
	Reason  string
}

// HashKey returns the form in which settings keep a bearer key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyPrefix + hex.EncodeToString(sum[:])
}

// newSnapshot resolves a checked file.
func newSnapshot(f *File, source []byte) *Snapshot {
	s := &Snapshot{
		File:     f,
		Source:   source,
		Services: map[string]*ResolvedService{},
		keys:     map[[sha256.Size]byte]*Organisation{},
		named:    map[string]*Organisation{},
	}
	f.walk(func(path string, b *Branch, service *Service, e effective) {
		name := strings.TrimPrefix(path, fleetName+"/")
		switch {
		case service != nil:
			s.Services[name] = &ResolvedService{
				Name:      name,
				Upstreams: service.Upstreams,
				Once:      service.Once,
				Deadline:  *e.policy.Deadline,
				Stall:     *e.policy.Stall,
				Body:      *e.policy.Body,
				Attempts:  *e.policy.Attempts,
			}
		case path != fleetName:
			s.named[name] = f.organisation(name, e.policy)
			s.addKeys(b.Keys, s.named[name])
		}
	})
	return s
}

func (s *Snapshot) addKeys(keys []string, o *Organisation) {
	for _, k := range keys {
		raw, _ := hex.DecodeString(strings.TrimPrefix(k, keyPrefix))
		s.keys[[sha256.Size]byte(raw)] = o
	}
}

func (f *File) organisation(name string, p Policy) *Organisation {
	o := &Organisation{
		Name:        name,
		Versions:    f.permittedVersions(p),
		Cascades:    map[string]bool{},
		Services:    map[string]bool{},
		Rate:        *p.Rate,
		Burst:       *p.Burst,
		Concurrency: *p.Concurrency,
		Body:        *p.Body,
		Deadline:    *p.Deadline,
		Stall:       *p.Stall,
		Idempotent:  *p.Idempotent,
		Quality:     *p.Quality,
		Priority:    *p.Priority,
		Idle:        *p.Idle,
		Attempts:    *p.Attempts,
		Retries:     *p.Retries,
	}
	for _, a := range p.Allow {
		if _, ok := f.Cascades[a]; ok {
			o.Cascades[a] = true
		}
	}
	for _, n := range p.Services {
		o.Services[n] = true
	}
	return o
}

// permittedVersions expands allow and deny.
func (f *File) permittedVersions(p Policy) map[persimmoncross.ModelVersion]bool {
	permitted := map[persimmoncross.ModelVersion]bool{}
	for _, a := range p.Allow {
		for _, v := range f.expand(a) {
			permitted[v] = true
		}
	}
	for _, d := range p.Deny {
		for _, v := range f.expand(d) {
			delete(permitted, v)
		}
	}
	return permitted
}

// expand returns the versions that a model or a version names.
func (f *File) expand(text string) []persimmoncross.ModelVersion {
	v := persimmoncross.ParseModelVersion(text)
	if v.Pinned() {
		return []persimmoncross.ModelVersion{v}
	}
	m, ok := f.Models[v.Model]
	if !ok {
		return nil // a cascade
	}
	var all []persimmoncross.ModelVersion
	for name := range m.Versions {
		all = append(all, persimmoncross.ModelVersion{
			Model: v.Model,
			Name:  name,
		})
	}
	slices.SortFunc(all, func(a, b persimmoncross.ModelVersion) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Organisation returns the organisation that a bearer key names.
func (s *Snapshot) Organisation(key string) (*Organisation, bool) {
	o, ok := s.keys[sha256.Sum256([]byte(key))]
	return o, ok
}

// May reports whether the organisation may start work on the version now.
func (s *Snapshot) May(organisation string, v persimmoncross.ModelVersion) bool {
	return s.Named(organisation).Versions[v] && !s.Withdrawn[v]
}

// Named returns the organisation with the name; one that is gone may use
// nothing.
func (s *Snapshot) Named(name string) *Organisation {
	if o, ok := s.named[name]; ok {
		return o
	}
	return &Organisation{
		Name: name,
	}
}

// Steps returns the models or versions that a name runs: the steps of a
// cascade, nested ones in place, or the name itself.
func (s *Snapshot) Steps(name string) []persimmoncross.ModelVersion {
	c, ok := s.File.Cascades[name]
	if !ok {
		return []persimmoncross.ModelVersion{persimmoncross.ParseModelVersion(name)}
	}
	var steps []persimmoncross.ModelVersion
	for _, n := range c.Steps {
		steps = append(steps, s.Steps(n)...)
	}
	return steps
}

// Weights returns the share of new work of each version of a model, in per
// cent, with the roll-outs' stages in force and withdrawn versions at zero.
func (s *Snapshot) Weights(model string) map[persimmoncross.ModelVersion]int {
	weights := map[persimmoncross.ModelVersion]int{}
	m, ok := s.File.Models[model]
	if !ok {
		return weights
	}
	for name, e := range m.Versions {
		weights[persimmoncross.ParseModelVersion(model+"@"+name)] = e.Weight
	}
	for name, r := range s.File.Rollouts {
		if r.Model == model {
			s.applyRollout(weights, name, r)
		}
	}
	for v := range weights {
		if s.Withdrawn[v] {
			weights[v] = 0
		}
	}
	return weights
}

// applyRollout moves the share of a roll-out's two versions to its stage.
func (s *Snapshot) applyRollout(weights map[persimmoncross.ModelVersion]int, name string, r *Rollout) {
	to, from := r.Versions()
	total := weights[from] + weights[to]
	share := 0
	switch stage := s.Stages[name]; {
	case stage.Verdict == VerdictBack:
	case stage.Verdict == VerdictDone:
		share = fullWeight
	case stage.Index < len(r.Stages):
		share = r.Stages[stage.Index]
	}
	weights[to] = total * share / fullWeight
	weights[from] = total - weights[to]
}

// OnceOnly reports whether a call of the service may not be repeated.
func (r *ResolvedService) OnceOnly(method, path string) bool {
	for _, o := range r.Once {
		m, pattern, _ := strings.Cut(o, " ")
		if m != method {
			continue
		}
		prefix, open := strings.CutSuffix(pattern, "*")
		if path == pattern || open && strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// SlotsOf returns how many requests the upstream serves at once.
func (u *Upstream) SlotsOf() int {
	if u.Slots == 0 {
		return defaultSlots
	}
	return u.Slots
}

// Usable returns the names that the organisation may ask for now: models,
// pinned versions and cascades, sorted.
func (s *Snapshot) Usable(o *Organisation) []string {
	names := map[string]bool{}
	for v := range o.Versions {
		if s.May(o.Name, v) {
			names[v.String()] = true
			names[v.Model] = true
		}
	}
	for c := range o.Cascades {
		for _, step := range s.Steps(c) {
			if names[step.String()] {
				names[c] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// Versions returns the version that is rolled out and the one it replaces.
func (r *Rollout) Versions() (to, from persimmoncross.ModelVersion) {
	return persimmoncross.ParseModelVersion(r.Model + "@" + r.To), persimmoncross.ParseModelVersion(r.Model + "@" + r.From)
}
