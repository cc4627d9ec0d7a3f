package record

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

// A file of frames is a sequence of: length (4 bytes, big endian), CRC-32C of
// the payload (4 bytes), CRC-32C of these 8 bytes (4 bytes), payload. Without
// the second sum a changed length would look like a frame that was cut off.
const (
	headerSize   = 12
	summedHeader = 8
	sectorSize   = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Damage tells how a file ends.
type Damage uint8

// The kinds of damage.
const (
	Whole   Damage = iota // the file ends after a whole frame
	Torn                  // the last frame was cut off while being written
	Corrupt               // something synced was changed since
)

// AppendFrame adds a payload's frame to b.
func AppendFrame(b, payload []byte) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
	return append(b, payload...)
}

// SplitFrames returns the payloads of a file's whole frames, the bytes they
// take, and how the rest is damaged.
//
// A frame whose checksum fails is torn only if it could be the effect of a
// crash: it is the last one and is short, or one of its sectors was never
// written and reads as zeros. Anything else was once whole.
func SplitFrames(data []byte) (payloads [][]byte, size int, damage Damage) {
	for size < len(data) {
		rest := data[size:]
		if len(rest) < headerSize {
			return payloads, size, Torn
		}
		if crc32.Checksum(rest[:summedHeader], castagnoli) != binary.BigEndian.Uint32(rest[summedHeader:]) {
			return payloads, size, tornIf(hasZeroSector(data, size, min(size+sectorSize, len(data))))
		}
		length := int(binary.BigEndian.Uint32(rest))
		if len(rest) < headerSize+length {
			return payloads, size, Torn
		}
		payload := rest[headerSize : headerSize+length]
		if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(rest[4:]) {
			last := len(rest) == headerSize+length
			return payloads, size, tornIf(last && hasZeroSector(data, size, len(data)))
		}
		payloads = append(payloads, payload)
		size += headerSize + length
	}
	return payloads, size, Whole
}

// DecodeFrame decodes one payload of a log file.
func DecodeFrame(payload []byte) (*Frame, error) {
	f := &Frame{}
	if err := proto.Unmarshal(payload, f); err != nil {
		return nil, fmt.Errorf("record: decode frame: %w", err)
	}
	return f, nil
}

func tornIf(torn bool) Damage {
	if torn {
		return Torn
	}
	return Corrupt
}

func allZero(b []byte) bool {
	for _, v := range b {
		if v != 0 {
			return false
		}
	}
	return true
}

// hasZeroSector reports whether a sector between the offsets, or the part of
// one at the end, holds only zeros.
func hasZeroSector(data []byte, from, to int) bool {
	for start := from - from%sectorSize; start < to; start += sectorSize {
		begin := max(start, from)
		end := min(start+sectorSize, to)
		if allZero(data[begin:end]) {
			return true
		}
	}
	return false
}
