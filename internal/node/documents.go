package node

import (
	"errors"
	"slices"
	"sync"

	"persimmoncross/core/state/packed"
	"persimmoncross/io/protocol/wire"
)

// This file sends documents to entries. An entry's link may have a hundredth of the capacity of
// a controller's and also carries the callers' traffic, and a document may be a thousand times
// as large as the change that made it. A document is therefore packed as a delta against the
// one that the entry holds, and sent only by the controller that the entry follows. It is sent in
// parts, so that the entry receives an update within updateTimeout and stays with the controller.
const (
	// maxPartBytes is the size of a part that a slow link carries in a fraction of
	// updateTimeout: 13 ms at 10 Mbit/s, 0.2 s at a fifteenth of that.
	maxPartBytes = 16 << 10
	// maxKeptDocuments is how many documents are kept as bases. A document that was replaced
	// may still be held by an entry that was receiving it, or that was cut off during some
	// changes.
	maxKeptDocuments = 4
)

// document is a document with its number and checksum.
type document struct {
	number   uint64
	checksum uint64
	source   []byte
}

// documentStore holds the newest documents, and the newest one packed for followers.
type documentStore struct {
	packMu sync.Mutex // held while a document is packed, so that packing is serialized and each delta is packed only once

	mu           sync.Mutex        // guards all below; held only briefly, since the consensus goroutine locks it
	documents    []document        // oldest first
	packedByBase map[uint64][]byte // the newest document packed, by the number of the base; 0: without a base
	packWhole    func() []byte     // packs the newest document without a base
}

// add stores a document that is newer than those stored.
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

// documentTransfer is a document that is being sent to one follower.
type documentTransfer struct {
	document document
	base     uint64
	data     []byte // packed; shared, read-only
	offset   int
}

// missingDocument is the document that a follower lacks.
type missingDocument struct {
	newest    document
	base      document // number 0: the newest document is packed without a base
	packWhole func() []byte
	packed    []byte // nil: not packed yet
}

// lookUpMissing returns what is missing on a follower that holds the document with the number
// and checksum, and false if that document is the newest.
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

// newTransfer returns a transfer of the newest document to a follower that holds the document
// with the number and checksum, or nil if that is the newest.
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

// pack packs a document and keeps the result for other followers. The caller holds packMu.
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

// nextPart returns the next part of the document, and whether it is the last.
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

// partialDocument is a document of which some parts have arrived.
type partialDocument struct {
	number uint64
	data   []byte
}

// errInvalidParts is returned if the parts of a document are out of order, too large, or fail
// the checksum.
var errInvalidParts = errors.New("node: the parts of a document are out of order, too large, or do not match its checksum")

// addPart adds a part. It returns the document once it is complete; baseSource returns the
// source of the base document by its number.
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
