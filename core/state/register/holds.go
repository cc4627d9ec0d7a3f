package register

import (
	"maps"
	"slices"

	"persimmoncross"
)

// mostHolds bounds what is kept of held requests, whoever proposes: about 100 KB
// in a snapshot.
const mostHolds = 1024

// setHolds brings changes of holds into force; those of stage HoldFree end one.
func (s *State) setHolds(changes []persimmoncross.Quarantine) bool {
	next := maps.Clone(s.Holds)
	if next == nil {
		next = map[persimmoncross.Digest]persimmoncross.Quarantine{}
	}
	for _, h := range changes {
		_, held := next[h.Digest]
		switch {
		case h.Stage == persimmoncross.QuarantineNone:
			delete(next, h.Digest)
		case held || len(next) < mostHolds:
			next[h.Digest] = h
		}
	}
	if maps.Equal(next, s.Holds) {
		return false
	}
	s.Holds = next
	s.Held = s.Index
	return true
}

// holdList returns the holds as they are stored.
func holdList(s *State) []persimmoncross.Quarantine {
	list := slices.Collect(maps.Values(s.Holds))
	slices.SortFunc(list, func(a, b persimmoncross.Quarantine) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return list
}

// holdMap returns stored holds as the state has them.
func holdMap(list []persimmoncross.Quarantine) map[persimmoncross.Digest]persimmoncross.Quarantine {
	if len(list) == 0 {
		return nil
	}
	holds := make(map[persimmoncross.Digest]persimmoncross.Quarantine, len(list))
	for _, h := range list {
		holds[h.Digest] = h
	}
	return holds
}
