package peer

import "fmt"

// Kind classifies an [Error].
type Kind uint8

// The kinds of error.
const (
	Unreachable Kind = iota + 1 // no connection to the VM
	Broken                      // the connection failed in the middle
	Refused                     // the VM answered that it won't
	Failed                      // this process can't do it
)

// Error is what the package's operations return.
type Error struct {
	Operation string
	Kind      Kind
	VM        string
	Err       error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("peer: %s %s: %v", e.Operation, e.VM, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func failure(operation string, kind Kind, vm string, err error) *Error {
	return &Error{
		Operation: operation,
		Kind:      kind,
		VM:        vm,
		Err:       err,
	}
}
