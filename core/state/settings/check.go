package settings

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strings"

	"persimmoncross"
)

// keyPrefix begins the hash of a bearer key.
const keyPrefix = "sha256:"

const fullWeight = 100 // per cent

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	methods     = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions}
)

// Parse reads a settings file and checks it. The error lists every mistake.
func Parse(source []byte) (*File, error) {
	f := &File{}
	d, err := decode(source, f)
	if err != nil {
		return nil, err
	}
	if len(d.problems) == 0 {
		c := checker{
			decoder: d,
			file:    f,
			keys:    map[string]string{},
		}
		c.run()
	}
	if err := d.result(); err != nil {
		return nil, err
	}
	return f, nil
}

// checker finds what the shape of a file can't show.
type checker struct {
	*decoder
	file *File
	keys map[string]string // hash to the branch that holds it
}

func (c *checker) run() {
	if c.file.Fleet == nil {
		c.problem("", `the root of the tree, "fleet", is missing`)
		return
	}
	if c.file.Loads < 0 {
		c.problem("loads", "want 0 or more, found %d", c.file.Loads)
	}
	for name, m := range c.file.Models {
		c.model(name, m)
	}
	for name := range c.file.Cascades {
		c.cascade(name)
	}
	for name, u := range c.file.Upstreams {
		c.upstream(name, u)
	}
	for name, r := range c.file.Rollouts {
		c.rollout(name, r)
	}
	c.tree()
}

func (c *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		c.problem(path, "want a name of small letters, digits, '.', '_' and '-', at most 63, found %q", name)
	}
}

func (c *checker) model(name string, m *Model) {
	path := "models." + name
	c.name(path, name)
	if _, ok := c.file.Cascades[name]; ok {
		c.problem(path, "a cascade has the same name")
	}
	if len(m.Versions) == 0 {
		c.problem(path, "the model has no versions")
		return
	}
	sum := 0
	for v, e := range m.Versions {
		c.name(path+".versions."+v, v)
		if e.Weight < 0 {
			c.problem(path+".versions."+v+".weight", "want 0 or more, found %d", e.Weight)
		}
		sum += e.Weight
	}
	if sum != fullWeight {
		c.problem(path+".versions", "the weights sum to %d, want %d", sum, fullWeight)
	}
}

func (c *checker) cascade(name string) {
	path := "cascades." + name
	c.name(path, name)
	if len(c.file.Cascades[name].Steps) == 0 {
		c.problem(path, "the cascade has no steps")
	}
	for i, s := range c.file.Cascades[name].Steps {
		place := fmt.Sprintf("%s.steps[%d]", path, i)
		if _, ok := c.file.Cascades[s]; ok {
			if c.reaches(s, name, map[string]bool{}) {
				c.problem(place, "cycle: cascade %q leads back to %q", s, name)
			}
			continue
		}
		c.runnable(place, s, false)
	}
	c.fraction(path+".quality", c.file.Cascades[name].Quality)
}

// reaches reports whether cascade from has goal among its steps, at any depth.
func (c *checker) reaches(from, goal string, seen map[string]bool) bool {
	if from == goal {
		return true
	}
	if seen[from] || c.file.Cascades[from] == nil {
		return false
	}
	seen[from] = true
	for _, s := range c.file.Cascades[from].Steps {
		if c.reaches(s, goal, seen) {
			return true
		}
	}
	return false
}

// runnable checks that a text names a model, a version, or perhaps a cascade.
func (c *checker) runnable(path, text string, cascades bool) {
	v := persimmoncross.ParseModelVersion(text)
	if _, ok := c.file.Cascades[text]; ok && cascades {
		return
	}
	m, ok := c.file.Models[v.Model]
	if !ok {
		names := slices.Collect(maps.Keys(c.file.Models))
		what := "model"
		if cascades {
			names = slices.AppendSeq(names, maps.Keys(c.file.Cascades))
			what = "model or cascade"
		}
		c.problem(path, "there is no %s %q%s", what, v.Model, suggest(v.Model, names))
		return
	}
	if _, ok := m.Versions[v.Name]; v.Pinned() && !ok {
		c.problem(path, "model %q has no version %q%s", v.Model, v.Name, suggest(v.Name, slices.Collect(maps.Keys(m.Versions))))
	}
}

func (c *checker) upstream(name string, u *Upstream) {
	path := "upstreams." + name
	c.name(path, name)
	if !u.Address.IsValid() {
		c.problem(path, `"address" is missing`)
	}
	if u.Slots < 0 {
		c.problem(path+".slots", "want 0 or more, found %d", u.Slots)
	}
	switch u.Kind {
	case "engine":
		if len(u.Versions) == 0 {
			c.problem(path, "an engine needs versions")
		}
	case "service":
		if len(u.Versions) > 0 {
			c.problem(path+".versions", "a plain service's process has no versions")
		}
	default:
		c.problem(path, `want "kind": "engine" or "service", found %q`, u.Kind)
	}
	for i, v := range u.Versions {
		place := fmt.Sprintf("%s.versions[%d]", path, i)
		if !persimmoncross.ParseModelVersion(v).Pinned() {
			c.problem(place, "want model@version, found %q", v)
			continue
		}
		c.runnable(place, v, false)
	}
}

func (c *checker) rollout(name string, r *Rollout) {
	path := "rollouts." + name
	c.name(path, name)
	for _, v := range []string{r.From, r.To} {
		c.runnable(path, r.Model+"@"+v, false)
	}
	if r.From == r.To {
		c.problem(path, "from and to are the same version")
	}
	if r.Budget <= 0 {
		c.problem(path, "want a budget above 0, found %d", r.Budget)
	}
	if r.Margin < 0 || r.Margin > 1 {
		c.problem(path+".margin", "want 0 to 1, found %v", r.Margin)
	}
	previous := 0
	for i, s := range r.Stages {
		if s <= previous || s > fullWeight {
			c.problem(fmt.Sprintf("%s.stages[%d]", path, i), "want shares that rise to %d, found %d after %d", fullWeight, s, previous)
		}
		previous = s
	}
	if previous != fullWeight {
		c.problem(path, "the last stage must be %d", fullWeight)
	}
}

func (c *checker) tree() {
	fleet := c.file.Fleet
	if len(fleet.Branches) > 0 {
		c.problem("fleet.branches", `want "organisations" at the fleet; branches stand below an organisation`)
	}
	if len(fleet.Keys) > 0 {
		c.problem("fleet.keys", "keys belong to an organisation or its branches")
	}
	c.policy("fleet", fleet.Policy)
	for name, s := range fleet.Callable {
		c.service("fleet.callable."+name, name, s)
	}
	for name, b := range fleet.Organisations {
		c.branch("fleet.organisations."+name, name, b)
	}
	c.permitted()
}

func (c *checker) branch(path, name string, b *Branch) {
	c.name(path, name)
	c.policy(path, b.Policy)
	if len(b.Organisations) > 0 {
		c.problem(path+".organisations", `want "branches" below an organisation`)
	}
	if len(b.Callable) > 0 {
		c.problem(path+".callable", "services are declared at the fleet")
	}
	for i, k := range b.Keys {
		c.key(fmt.Sprintf("%s.keys[%d]", path, i), path, k)
	}
	for n, child := range b.Branches {
		c.branch(path+".branches."+n, n, child)
	}
}

func (c *checker) key(place, branch, key string) {
	digits, ok := strings.CutPrefix(key, keyPrefix)
	raw, err := hex.DecodeString(digits)
	if !ok || err != nil || len(raw) != 32 {
		// The text itself is not shown: it may be a key in clear.
		c.problem(place, "want %s and 64 hexadecimal digits: the hash of a key, never the key; see `persimmoncross hash`", keyPrefix)
		return
	}
	if other, taken := c.keys[key]; taken {
		c.problem(place, "%s has the same key", other)
		return
	}
	c.keys[key] = branch
}

func (c *checker) service(path, name string, s *Service) {
	c.name(path, name)
	c.policy(path, s.Policy)
	if len(s.Upstreams) == 0 {
		c.problem(path, "the service has no upstreams")
	}
	for i, u := range s.Upstreams {
		place := fmt.Sprintf("%s.upstreams[%d]", path, i)
		known, ok := c.file.Upstreams[u]
		if !ok {
			c.problem(place, "there is no upstream %q%s", u, suggest(u, slices.Collect(maps.Keys(c.file.Upstreams))))
			continue
		}
		if known.Kind != "service" {
			c.problem(place, "upstream %q is an engine", u)
		}
	}
	for i, o := range s.Once {
		method, pattern, ok := strings.Cut(o, " ")
		if !ok || !slices.Contains(methods, method) || !strings.HasPrefix(pattern, "/") {
			c.problem(fmt.Sprintf("%s.once[%d]", path, i), `want a method and a path, such as "POST /deposit", found %q`, o)
		}
	}
}

func (c *checker) policy(path string, p Policy) {
	for i, a := range p.Allow {
		c.runnable(fmt.Sprintf("%s.allow[%d]", path, i), a, true)
	}
	for i, a := range p.Deny {
		c.runnable(fmt.Sprintf("%s.deny[%d]", path, i), a, false)
	}
	for i, s := range p.Services {
		if _, ok := c.file.Fleet.Callable[s]; !ok {
			c.problem(fmt.Sprintf("%s.services[%d]", path, i), "there is no service %q%s", s, suggest(s, slices.Collect(maps.Keys(c.file.Fleet.Callable))))
		}
	}
	c.fraction(path+".quality", p.Quality)
	c.fraction(path+".retries", p.Retries)
	if p.Rate != nil && *p.Rate <= 0 {
		c.problem(path+".rate", "want a rate above 0, found %v", *p.Rate)
	}
	for field, v := range map[string]*int{
		"burst":       p.Burst,
		"concurrency": p.Concurrency,
		"body":        p.Body,
		"attempts":    p.Attempts,
	} {
		if v != nil && *v < 1 {
			c.problem(path+"."+field, "want 1 or more, found %d", *v)
		}
	}
	if p.Priority != nil && (*p.Priority < 0 || *p.Priority > 2) {
		c.problem(path+".priority", "want 0, 1 or 2, found %d", *p.Priority)
	}
	if p.Deadline != nil && *p.Deadline == 0 {
		c.problem(path+".deadline", "want a duration above 0s")
	}
}

func (c *checker) fraction(path string, v *float64) {
	if v != nil && (*v < 0 || *v > 1) {
		c.problem(path, "want a number from 0 to 1, found %v", *v)
	}
}

// permitted checks that each organisation may use at least one version, or at
// least one service.
func (c *checker) permitted() {
	c.file.walk(func(path string, b *Branch, _ *Service, e effective) {
		if b == nil || path == fleetName || len(e.policy.Services) > 0 {
			return
		}
		if len(c.file.permittedVersions(e.policy)) == 0 {
			parts := strings.Split(path, "/")
			place := "fleet.organisations." + strings.Join(parts[1:], ".branches.")
			c.problem(place, "no version is left that this organisation may use: allow one, or deny less")
		}
	})
}
