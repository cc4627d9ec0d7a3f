package node

import (
	"errors"
	"slices"
	"sync"

	"persimmoncross/core/state/packed"
	"persimmoncross/io/protocol/wire"
)

// How documents go to entries. An entry's link may be a hundredth of a
// controller's and carries its callers' bytes too, and a document may have a
// thousand times the bytes of the change that made it. So what is sent is packed
// against the document that the entry holds, in parts that show life on the way,
// and only by the one controller that the entry follows.
const (
	// maxPartBytes is what a slow link carries in a part of the silence after which a
	// controller is left: 13 ms of 10 Mbit/s, 0.2 s of a fiftieth of that.
	maxPartBytes = 16 << 10
	// maxKeptDocuments are held as bases. One that was overtaken may be what an entry
	// holds that was being sent it, or was cut off for some changes.
	maxKeptDocuments = 4
)

// document is one numbered document.
type document struct {
	number   uint64
	checksum uint64
	source   []byte
}

// documentStore holds the newest document and those before it, packed for followers.
type documentStore struct {
	packMu sync.Mutex // held while a document is packed: one at a time, and each once

	mu           sync.Mutex        // guards all below; never held for long, the log's goroutine takes it
	documents    []document        // the newest last
	packedByBase map[uint64][]byte // the newest, by the number that it is packed against; 0: by itself
	packWhole    func() []byte     // packs the newest by itself
}

// add takes a newer document.
func (s *documentStore) add(number uint64, source []byte, packWhole func() []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.documents); n > 0 && s.documents[n-1].number >= number {
		return
	}
	s.documents = append(s.documents, document{
		number:   number,
		checksum: packed.Sum(source),
		source:   source,
	})
	if n := len(s.documents); n > maxKeptDocuments {
		s.documents = slices.Clone(s.documents[n-maxKeptDocuments:])
	}
	s.packedByBase = map[uint64][]byte{}
	s.packWhole = packWhole
}

// documentTransfer is a document on its way to one follower.
type documentTransfer struct {
	document document
	base     uint64
	data     []byte // packed; shared and never changed
	offset   int
}

// missingDocument is the document that a follower lacks.
type missingDocument struct {
	newest    document
	base      document // its number is 0: the newest is packed by itself
	packWhole func() []byte
	packed    []byte // nil: not packed yet
}

// lookUpMissing returns what a follower lacks that holds the document with the number and
// sum, and false where that is the newest.
func (s *documentStore) lookUpMissing(number, checksum uint64) (missing missingDocument, isMissing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.documents) == 0 || s.documents[len(s.documents)-1].number <= number {
		return missing, false
	}
	missing.newest = s.documents[len(s.documents)-1]
	missing.packWhole = s.packWhole
	for _, d := range s.documents {
		if d.number == number && d.checksum == checksum {
			missing.base = d
		}
	}
	missing.packed = s.packedByBase[missing.base.number]
	return missing, true
}

// newTransfer begins to send the newest document to a follower that holds another,
// nil where that is the newest itself.
func (s *documentStore) newTransfer(number, checksum uint64) *documentTransfer {
	missing, isMissing := s.lookUpMissing(number, checksum)
	if isMissing && missing.packed == nil {
		s.packMu.Lock()
		defer s.packMu.Unlock()
		if missing, isMissing = s.lookUpMissing(number, checksum); isMissing && missing.packed == nil {
			missing.packed = s.pack(missing)
		}
	}
	if !isMissing {
		return nil
	}
	return &documentTransfer{
		document: missing.newest,
		base:     missing.base.number,
		data:     missing.packed,
	}
}

// pack packs a document and keeps it for other followers. The caller holds packing.
func (s *documentStore) pack(missing missingDocument) []byte {
	var data []byte
	if missing.base.number == 0 {
		data = missing.packWhole()
	} else {
		data = packed.Since(missing.base.source, missing.newest.source)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.documents[len(s.documents)-1].number == missing.newest.number {
		s.packedByBase[missing.base.number] = data
	}
	return data
}

// nextPart returns the next nextPart, and whether it is the last.
func (t *documentTransfer) nextPart() (p *wire.Part, last bool) {
	end := min(t.offset+maxPartBytes, len(t.data))
	p = &wire.Part{
		Number: t.document.number,
		Base:   t.base,
		Sum:    t.document.checksum,
		Size:   uint32(len(t.data)),
		Offset: uint32(t.offset),
		Data:   t.data[t.offset:end],
	}
	t.offset = end
	return p, end == len(t.data)
}

// partialDocument is a document of which parts have come.
type partialDocument struct {
	number uint64
	data   []byte
}

// errInvalidParts tells that the parts of a document don't make one that can be used.
var errInvalidParts = errors.New("node: a document came in parts that don't fit")

// addPart takes a part. It returns the document once it is whole; base returns the
// one that it was packed against.
func (d *partialDocument) addPart(p *wire.Part, baseSource func(number uint64) []byte) ([]byte, error) {
	if p.GetOffset() == 0 {
		d.number = p.GetNumber()
		d.data = nil
	}
	if p.GetNumber() != d.number || int(p.GetOffset()) != len(d.data) || p.GetSize() > packed.LimitPacked {
		return nil, errInvalidParts
	}
	d.data = append(d.data, p.GetData()...)
	if len(d.data) < int(p.GetSize()) {
		return nil, nil
	}
	var base []byte
	if p.GetBase() != 0 {
		base = baseSource(p.GetBase())
	}
	source, err := packed.Open(d.data, base)
	d.data = nil
	if err != nil {
		return nil, err
	}
	if packed.Sum(source) != p.GetSum() {
		return nil, errInvalidParts
	}
	return source, nil
}
