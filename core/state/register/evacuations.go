package register

import "maps"

// Evacuate orders that nothing more goes to the upstreams of a data centre, or ends
// that.
type Evacuate struct {
	DataCentre string `json:"datacentre"`
	End        bool   `json:"end,omitempty"`
}

// Evacuation is one in force.
type Evacuation struct {
	Order uint64 `json:"order"` // index of the entry that began it
}

// evacuate brings an order into force. The same order again changes nothing, so that
// it may be sent again after a lost answer.
func (s *State) evacuate(e *Evacuate) bool {
	_, under := s.Evacuations[e.DataCentre]
	if under != e.End {
		return false
	}
	next := maps.Clone(s.Evacuations)
	if next == nil {
		next = map[string]Evacuation{}
	}
	if e.End {
		delete(next, e.DataCentre)
	} else {
		next[e.DataCentre] = Evacuation{
			Order: s.Index,
		}
	}
	s.Evacuations = next
	return true
}
