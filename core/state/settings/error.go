package settings

import (
	"fmt"
	"strings"
)

// Kind classifies an [Error].
type Kind uint8

// The kinds of error.
const (
	Invalid  Kind = iota + 1 // the file has mistakes, listed in Problems
	Conflict                 // the revision expected is not the current one
	Unknown                  // what is named does not exist
)

// Problem is one mistake in a file.
type Problem struct {
	Line   int // from 1
	Column int // from 1, in bytes
	Path   string
	Text   string // what is wrong, and what would be right
}

// String returns the problem as compilers print theirs, without the file name.
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Text)
	}
	return fmt.Sprintf("%d:%d: %s: %s", p.Line, p.Column, p.Path, p.Text)
}

// Error is what the package's operations return.
type Error struct {
	Operation string
	Kind      Kind
	Detail    string
	Problems  []Problem
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings: %s", e.Operation)
	if e.Detail != "" {
		b.WriteString(": " + e.Detail)
	}
	for _, p := range e.Problems {
		b.WriteString("\n" + p.String())
	}
	return b.String()
}
