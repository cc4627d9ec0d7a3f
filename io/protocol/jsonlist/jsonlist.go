// Package jsonlist cuts JSON lists into their elements where some of these are damaged.
package jsonlist

import "encoding/json"

// maxDepth bounds how deep an element's values are nested: it keeps the time in which a damaged list is
// read in proportion to its length.
const maxDepth = 16

// Split cuts the text between a list's brackets into its elements. An element may hold any bytes, so
// quotes and brackets that are never closed say nothing about what follows: after bytes that are
// no JSON value, the next element is the next whole object between two commas. Elements that are
// no JSON value are returned as they are.
func Split(text []byte) (elements []json.RawMessage) {
	if SkipSpace(text, 0) == len(text) {
		return nil
	}
	for at := 0; at <= len(text); {
		at = SkipSpace(text, at)
		end := elementEnd(text, at)
		if end < 0 {
			end = damagedEnd(text, at)
		}
		elements = append(elements, text[at:end])
		at = end + 1
	}
	return elements
}

// elementEnd returns where the element that begins at the offset ends, at a comma or at the end of the
// data; -1 if there is no JSON value.
func elementEnd(data []byte, at int) int {
	end, ok := valueEnd(data, at, 0)
	if end = SkipSpace(data, end); ok && (end == len(data) || data[end] == ',') {
		return end
	}
	return -1
}

// damagedEnd returns where a damaged element that begins at the offset ends: at the comma before the next
// whole object, or at the end of the data.
func damagedEnd(data []byte, at int) int {
	for ; at < len(data); at++ {
		if data[at] != ',' {
			continue
		}
		if next := SkipSpace(data, at+1); byteAt(data, next) == '{' && elementEnd(data, next) >= 0 {
			return at
		}
	}
	return len(data)
}

// ValueEnd returns the end of the JSON value that begins at the offset, false if there is none.
func ValueEnd(data []byte, at int) (int, bool) { return valueEnd(data, at, 0) }

func valueEnd(data []byte, at, depth int) (int, bool) {
	switch byteAt(data, at) {
	case '{', '[':
		return nestedEnd(data, at, depth)
	case '"':
		return stringEnd(data, at)
	}
	end := at
	for end < len(data) && isScalarByte(data[end]) {
		end++
	}
	return end, json.Valid(data[at:end])
}

// nestedEnd returns the end of the object or array that begins at the offset.
func nestedEnd(data []byte, at, depth int) (int, bool) {
	object, closing := data[at] == '{', byte(']')
	if object {
		closing = '}'
	}
	at = SkipSpace(data, at+1)
	if byteAt(data, at) == closing {
		return at + 1, true
	}
	for depth < maxDepth {
		ok := true
		if object {
			if at, ok = stringEnd(data, at); !ok {
				return at, false
			}
			if at = SkipSpace(data, at); byteAt(data, at) != ':' {
				return at, false
			}
			at = SkipSpace(data, at+1)
		}
		if at, ok = valueEnd(data, at, depth+1); !ok {
			return at, false
		}
		at = SkipSpace(data, at)
		switch byteAt(data, at) {
		case closing:
			return at + 1, true
		case ',':
			at = SkipSpace(data, at+1)
		default:
			return at, false
		}
	}
	return at, false
}

// stringEnd returns the end of the string that begins at the offset.
func stringEnd(data []byte, at int) (int, bool) {
	if byteAt(data, at) != '"' {
		return at, false
	}
	for end := at + 1; end < len(data); end++ {
		switch data[end] {
		case '\\':
			end++
		case '"':
			return end + 1, json.Valid(data[at : end+1])
		}
	}
	return len(data), false
}

// isScalarByte reports whether the byte may be part of a number, true, false or null.
func isScalarByte(b byte) bool {
	return b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '+' || b == '-' || b == '.'
}

// SkipSpace returns the offset of the next byte that is no JSON white space.
func SkipSpace(data []byte, at int) int {
	for at < len(data) && (data[at] == ' ' || data[at] == '\t' || data[at] == '\n' || data[at] == '\r') {
		at++
	}
	return at
}

// byteAt returns the byte at the offset, 0 past the end.
func byteAt(data []byte, at int) byte {
	if at >= len(data) {
		return 0
	}
	return data[at]
}
