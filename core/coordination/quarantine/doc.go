// Package quarantine tells requests that end the upstreams which run them from
// those that merely ran beside one.
package quarantine
