package node

import "fmt"

// Kind classifies an [Error].
type Kind uint8

// Kinds of [Error].
const (
	StartFailed Kind = iota + 1 // the process cannot start
	Unavailable                 // no quorum of controllers answered in time
	NotFound                    // the operation names something that does not exist
)

// Error is the error that operations of this package return.
type Error struct {
	Operation string
	Kind      Kind
	Err       error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("node: %s: %v", e.Operation, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func newError(operation string, kind Kind, err error) *Error {
	return &Error{
		Operation: operation,
		Kind:      kind,
		Err:       err,
	}
}
