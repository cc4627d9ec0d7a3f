package relay

import (
	"sync"

	"persimmoncross"
)

// pacedServices are the services whose upstreams have reported their pace. The zero value has
// none.
type pacedServices struct {
	services sync.Map // of service names; written once for each
}

// record records a load that an upstream of the service reported.
func (p *pacedServices) record(service string, load *persimmoncross.UpstreamLoad) {
	if load == nil || load.Pace == 0 || p.has(service) {
		return
	}
	p.services.Store(service, true)
}

func (p *pacedServices) has(service string) bool {
	_, ok := p.services.Load(service)
	return ok
}

// overloadEnabled reports whether the overload part is in force for the service.
func (r *Relay) overloadEnabled(part persimmoncross.OverloadPart, service string) bool {
	limited := r.pacedServices.has(service) || part == persimmoncross.OverloadQueue && r.limitsRejections(service)
	return r.Config.Overload.Enabled(part, limited)
}

// limitsRejections reports whether the service's upstreams bear few rejections, so that what they have
// no room for waits at the entry.
func (r *Relay) limitsRejections(service string) bool {
	if r.View == nil {
		return false
	}
	v := r.View()
	if v == nil || len(v.Targets[service]) == 0 {
		return false
	}
	return v.Targets[service][0].serviceCapacity().limitsRejections(r.Clock.Now())
}
