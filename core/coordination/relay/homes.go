package relay

import "slices"

// homes are the regions whose upstreams may run a passage: those of its route, of its
// caller's organisation, or of both where both name some.
type homes struct {
	regions map[string]string // of data centres
	route   []string          // empty: any
	holder  []string          // the organisation's; empty: any
}

// hold reports whether an upstream in the data centre may run the passage. One whose
// region is not known is at home nowhere.
func (h homes) hold(dataCentre string) bool {
	region := h.regions[dataCentre]
	at := func(list []string) bool { return len(list) == 0 || slices.Contains(list, region) }
	return at(h.route) && at(h.holder)
}
