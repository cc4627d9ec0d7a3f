// Package catalog holds what an operator declares in one document: routes,
// services, organisations and limits. A Catalog never changes once it is made.
package catalog

import (
	"strings"
	"time"

	"persimmoncross"
)

// Catalog is one declared document, checked and indexed.
type Catalog struct {
	Number        uint64 // the operator's; the highest is in force
	Routes        []*Route
	Services      map[string]*Service
	Organisations []*Organisation
	Limits        Limits
	// Keyed reports whether callers must show a key on routes that are not open.
	Keyed bool

	byHost map[string]map[string]*Route // by prefix
	byKey  map[string]*Organisation
	ranks  int // of routes
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Repeat      persimmoncross.RetryMode
	Stream      bool
	Timeout     time.Duration
	Objective   time.Duration // latency within which an answer has its full worth
	Pause       time.Duration // longest pause between events of a timely stream; 0: not told
	Priority    int           // 0 is first
	Models      []string      // smallest first; empty: the caller names the model
	Split       []Share
	MaxAttempts int
	Open        bool     // needs no key
	Sticky      bool     // prompts with shared parts
	Homes       []string // regions whose upstreams may run its requests; empty: any
}

// Share is a part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of equal upstreams.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int // at one upstream, from all callers
	Engine     *Engine
	ColdFor    time.Duration // after a start an upstream is cold; 0: it never is
	ColdRate   float64       // requests a second that a cold upstream bears
}

// Engine describes the upstreams of a service that generates.
type Engine struct {
	Slots  int
	Memory int                // tokens
	Costs  map[string]float64 // by model, for 1,000 tokens generated
}

// Organisation is a holder of keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int      // takes precedence over a route's; negative: none
	Homes    []string // regions whose upstreams may run its requests; empty: any
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Index prepares the look-ups; the catalog must have passed Check.
func (c *Catalog) Index() {
	c.byHost = map[string]map[string]*Route{}
	c.ranks = 1
	for _, r := range c.Routes {
		c.ranks = max(c.ranks, r.Priority+1)
		if c.byHost[r.Host] == nil {
			c.byHost[r.Host] = map[string]*Route{}
		}
		c.byHost[r.Host][r.Prefix] = r
	}
	c.byKey = map[string]*Organisation{}
	for _, o := range c.Organisations {
		for _, k := range o.Keys {
			c.byKey[k] = o
		}
	}
}

// Route returns the route with the longest prefix that begins the path, nil if
// there is none. Prefixes end with a slash, so a look-up for each slash of the
// path finds it, however many routes there are (BenchmarkRoute).
func (c *Catalog) Route(host, path string) *Route {
	routes := c.byHost[host]
	for end := len(path); len(routes) > 0; {
		end = strings.LastIndexByte(path[:end], '/')
		if end < 0 {
			return nil
		}
		if r := routes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Holder returns the organisation that holds the key, nil if none does.
func (c *Catalog) Holder(key string) *Organisation { return c.byKey[key] }

// Ranks returns how many ranks the routes' requests have.
func (c *Catalog) Ranks() int { return c.ranks }

// Rank returns how urgent the holder's requests on the route are, 0 first: an
// organisation's priority goes before the route's, and the route's decides among
// the requests of organisations of one priority. The holder may be nil.
func (c *Catalog) Rank(r *Route, holder *Organisation) int {
	if holder == nil || holder.Priority < 0 {
		return r.Priority
	}
	return holder.Priority*c.ranks + r.Priority
}
