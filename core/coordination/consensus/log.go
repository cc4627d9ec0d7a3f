package consensus

import (
	"slices"

	"persimmoncross"
)

// memoryLog is the tail of the log that is kept in memory. It holds the entries after
// compactedIndex, the last entry that was dropped because a snapshot covers it.
type memoryLog struct {
	compactedIndex  uint64
	compactedTerm   uint64
	entries         []persimmoncross.Entry
	cumulativeSizes []uint64 // bytes of data up to and including each entry; only differences are meaningful
	compactedSize   uint64   // cumulative size at compactedIndex
}

// sizeBetween returns the bytes of data of the entries in (low, high] that are in memory.
func (l *memoryLog) sizeBetween(low, high uint64) uint64 {
	if high <= low {
		return 0
	}
	return l.cumulativeSize(high) - l.cumulativeSize(low)
}

func (l *memoryLog) cumulativeSize(index uint64) uint64 {
	index = min(index, l.lastIndex())
	if index <= l.compactedIndex {
		return l.compactedSize
	}
	return l.cumulativeSizes[index-l.compactedIndex-1]
}

func (l *memoryLog) lastIndex() uint64 { return l.compactedIndex + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, or false if the log no longer or not yet holds
// the entry.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.compactedIndex:
		return l.compactedTerm, true
	case index < l.compactedIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.compactedIndex-1].Term, true
}

// entriesAfter returns the entries after index, limited to maxEntries entries and maxBytes
// bytes of data. The first entry is returned even if it is larger than maxBytes.
func (l *memoryLog) entriesAfter(index uint64, maxEntries int, maxBytes int) []persimmoncross.Entry {
	if index < l.compactedIndex || index >= l.lastIndex() {
		return nil
	}
	tail := l.entries[index-l.compactedIndex:]
	total := 0
	for i, e := range tail {
		total += len(e.Data)
		if i >= maxEntries || (i > 0 && total > maxBytes) {
			return tail[:i:i]
		}
	}
	return tail[:len(tail):len(tail)]
}

// entriesBetween returns the entries in (low, high].
func (l *memoryLog) entriesBetween(low, high uint64) []persimmoncross.Entry {
	if low < l.compactedIndex || high > l.lastIndex() || low >= high {
		return nil
	}
	return l.entries[low-l.compactedIndex : high-l.compactedIndex : high-l.compactedIndex]
}

func (l *memoryLog) append(entries ...persimmoncross.Entry) {
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		before := l.compactedSize
		if n := len(l.cumulativeSizes); n > 0 {
			before = l.cumulativeSizes[n-1]
		}
		l.cumulativeSizes = append(l.cumulativeSizes, before+uint64(len(e.Data)))
	}
}

// truncate drops the entries at and after index. The next append copies the remaining entries,
// because readers may still hold the old slice.
func (l *memoryLog) truncate(index uint64) {
	keep := index - l.compactedIndex - 1
	l.entries = l.entries[:keep:keep]
	l.cumulativeSizes = l.cumulativeSizes[:keep]
}

// compact drops the entries up to and including index.
func (l *memoryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index == l.compactedIndex {
		return
	}
	kept := l.entries[index-l.compactedIndex:]
	l.entries = append(make([]persimmoncross.Entry, 0, len(kept)), kept...)
	l.compactedSize = l.cumulativeSize(index)
	l.cumulativeSizes = slices.Clone(l.cumulativeSizes[index-l.compactedIndex:])
	l.compactedIndex = index
	l.compactedTerm = term
}

// reset drops all entries, and continues the log after a snapshot of the given index and term.
func (l *memoryLog) reset(index, term uint64) {
	l.compactedIndex = index
	l.compactedTerm = term
	l.entries = nil
	l.cumulativeSizes = nil
	l.compactedSize = 0
}
