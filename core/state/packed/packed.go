// Package packed makes documents small: whole, or as what differs from a
// document that the reader holds. An operator's document of thousands of routes
// changes by a few of them, and every line of it looks like the others.
//
// A document of 1,400 routes has 377 KB; packed 28 KB, and as the change of one
// route 117 bytes. One of 15,000 routes has 4.0 MB; packed 303 KB, and as the
// change of one route 526 bytes (40 ms of a core, 25 MB while it is made).
package packed

import (
	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// Limit bounds a document, in bytes. Packed ones that claim more are not opened.
const Limit = 8 << 20

// LimitPacked bounds a packed document: one that can't be made smaller grows a little.
const LimitPacked = Limit + Limit/256 + 1<<10

// Bounds of the window in which equal parts are looked for.
const (
	leastWindow = zstd.MinWindowSize
	mostWindow  = 32 << 20 // two documents of the most bytes
)

// smallDocuments is the size, with the base, up to which the fastest level finds
// what is equal: it takes 0.7 MB and 0.3 ms. The better one takes 10 MB and more,
// and finds it in the largest documents too, where the faster levels forget the
// base's beginning.
const smallDocuments = 512 << 10

// baseID marks what is packed against a base.
const baseID = 1

// Whole packs a document by itself.
func Whole(document []byte) []byte { return encode(document, nil) }

// Since packs a document for readers that hold the base.
func Since(base, document []byte) []byte { return encode(document, base) }

// Open returns the document. The base is the one that it was packed against,
// empty for a whole one.
func Open(data, base []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(Limit),
		zstd.WithDecoderMaxWindow(mostWindow),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(baseID, base))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, failure("open", err)
	}
	defer d.Close()
	document, err := d.DecodeAll(data, nil)
	if err != nil {
		return nil, failure("open", err)
	}
	return document, nil
}

// Sum tells documents apart.
func Sum(document []byte) uint64 { return xxhash.Sum64(document) }

// encode cannot fail: the options are constant, and the window is one that they
// allow.
func encode(document, base []byte) []byte {
	window := leastWindow
	for window < 2*(len(document)+len(base)) && window < mostWindow {
		window *= 2
	}
	level := zstd.SpeedBetterCompression
	if len(document)+len(base) < smallDocuments {
		level = zstd.SpeedFastest
	}
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(level),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(window),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseID, base))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		panic("packed: " + err.Error())
	}
	defer e.Close()
	return e.EncodeAll(document, nil)
}
