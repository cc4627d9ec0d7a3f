package relay

import "slices"

// residency are the regions whose upstreams may run a passage: those of its route, of its
// caller's organisation, or of both where both name some.
type residency struct {
	regionByDataCentre  map[string]string // of data centres
	routeRegions        []string          // empty: any
	organisationRegions []string          // the organisation's; empty: any
}

// allows reports whether an upstream in the data centre may run the passage. One whose
// region is not known is at home nowhere.
func (r residency) allows(dataCentre string) bool {
	region := r.regionByDataCentre[dataCentre]
	permits := func(list []string) bool { return len(list) == 0 || slices.Contains(list, region) }
	return permits(r.routeRegions) && permits(r.organisationRegions)
}
