package capacity

import "math"

// Memory that is not given to a request, because entries learn half a second late what others
// have sent, and answers may be longer than expected.
const (
	memoryMargin = 0.1 // of the engine's memory
	// racingRequests is how many requests of the same size the other entries may send in the
	// meantime without a request being put back.
	racingRequests = 2
)

// Fits reports whether an engine with the given memory has room for a request beside what is
// held there, all in tokens. A memory of 0 is not known and has room. A request that is alone
// always fits.
func Fits(memory, held, tokens int) bool {
	reserve := max(memoryMargin*float64(memory), float64(racingRequests*tokens))
	return memory <= 0 || held <= 0 || float64(held+tokens)+reserve <= float64(memory)
}

// Units of the encoded values.
const (
	paceUnit = 4 // percent of the usual
	// heldPerOctave is how many values encode a doubling of the held tokens. Rounded up, a value is
	// at most six percent too large, which is within memoryMargin. The values hold for engines of
	// any size, so that controllers need no settings to encode them.
	heldPerOctave   = 12
	minEncodedHeld  = 64 // tokens; fewer are encoded as that many
	maxEncodedValue = 255
)

// EncodePace returns a pace in percent of the usual as a byte, 0 for one that is not known.
// Paces outside of what a byte holds become the nearest that it holds.
func EncodePace(percent int) byte {
	if percent <= 0 {
		return 0
	}
	return byte(min(max((min(percent, paceUnit*maxEncodedValue)+paceUnit/2)/paceUnit, 1), maxEncodedValue))
}

// DecodePace returns the pace in percent, 0 if it is not known.
func DecodePace(b byte) int { return int(b) * paceUnit }

// EncodeHeld returns held tokens as a byte, rounded up, 0 for none.
func EncodeHeld(tokens uint64) byte {
	if tokens == 0 {
		return 0
	}
	octaves := math.Log2(max(float64(tokens), minEncodedHeld) / minEncodedHeld)
	// The slack keeps a decoded value from being rounded up once more at the next controller.
	const slack = 0.01
	return byte(min(1+math.Ceil(octaves*heldPerOctave-slack), maxEncodedValue))
}

// DecodeHeld returns the held tokens, 0 for none.
func DecodeHeld(b byte) uint64 {
	if b == 0 {
		return 0
	}
	return uint64(math.Floor(minEncodedHeld * math.Exp2(float64(b-1)/heldPerOctave)))
}
