package disk

import "persimmoncross"

// Memory implements [persimmoncross.Storage] for a learner, which keeps
// nothing over a restart and never votes.
type Memory struct{}

// Load implements [persimmoncross.Storage].
func (Memory) Load() (persimmoncross.HardState, persimmoncross.Snapshot, []persimmoncross.Entry, error) {
	return persimmoncross.HardState{}, persimmoncross.Snapshot{}, nil, nil
}

// Append implements [persimmoncross.Storage].
func (Memory) Append(*persimmoncross.HardState, []persimmoncross.Entry) error { return nil }

// Compact implements [persimmoncross.Storage].
func (Memory) Compact(persimmoncross.Snapshot, uint64) error { return nil }

// Close implements [persimmoncross.Storage].
func (Memory) Close() error { return nil }
