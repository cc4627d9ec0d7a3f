package relay

import "slices"

// residency holds the regions whose upstreams may run a request: those of its route, those of its
// organisation, or those in both lists if neither is empty.
type residency struct {
	regionByDataCentre  map[string]string
	routeRegions        []string // empty if the route allows any region
	organisationRegions []string // empty if the organisation allows any region
}

// allows reports whether an upstream in the data centre may run the request. A data centre whose
// region is not known belongs to no region.
func (r residency) allows(dataCentre string) bool {
	region := r.regionByDataCentre[dataCentre]
	permits := func(list []string) bool { return len(list) == 0 || slices.Contains(list, region) }
	return permits(r.routeRegions) && permits(r.organisationRegions)
}

// mayCarry returns whether a VM in a data centre may pass the request on, nil if any may. The region of its caller is
// not known, so only VMs in regions where the request may run are sure to be allowed.
func (r residency) mayCarry() func(dataCentre string) bool {
	if len(r.routeRegions)+len(r.organisationRegions) == 0 {
		return nil
	}
	return r.allows
}
