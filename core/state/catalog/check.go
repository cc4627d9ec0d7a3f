package catalog

import (
	"fmt"
	"strings"
)

// Check returns every reason why the catalog cannot be in force.
func (c *Catalog) Check() []string {
	var reasons []string
	refuse := func(format string, args ...any) { reasons = append(reasons, fmt.Sprintf(format, args...)) }
	if c.Number == 0 {
		refuse("the version is missing or 0")
	}
	type place struct{ host, prefix string }
	taken := map[place]string{}
	for _, r := range c.Routes {
		at := place{
			host:   r.Host,
			prefix: r.Prefix,
		}
		if other, ok := taken[at]; ok {
			refuse("route %q: route %q has the same host and prefix", r.Name, other)
		}
		taken[at] = r.Name
		c.checkRoute(r, refuse)
	}
	keys := map[string]string{}
	for _, o := range c.Organisations {
		for _, k := range o.Keys {
			if other, ok := keys[k]; ok && other != o.Name {
				refuse("organisation %q: organisation %q holds one of its keys", o.Name, other)
			}
			keys[k] = o.Name
		}
	}
	return reasons
}

func (c *Catalog) checkRoute(r *Route, refuse func(format string, args ...any)) {
	if r.Timeout <= 0 {
		refuse("route %q: the timeout is 0", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		refuse("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Split) == 0 {
		refuse("route %q: names no service", r.Name)
		return
	}
	sum := 0
	for _, s := range r.Split {
		if c.Services[s.Service] == nil {
			refuse("route %q: service %q is not declared", r.Name, s.Service)
		}
		if s.Weight < 0 {
			refuse("route %q: the weight of %q is negative", r.Name, s.Service)
		}
		sum += s.Weight
	}
	if sum <= 0 {
		refuse("route %q: the weights add up to 0", r.Name)
	}
}
