package vm

import "fmt"

// Kind classifies an [Error].
type Kind uint8

// The kinds of error.
const (
	Start   Kind = iota + 1 // the VM cannot start
	Refused                 // an operator's request is not allowed
	Absent                  // a VM that is needed does not answer
)

// Error is what the package's operations return.
type Error struct {
	Operation string
	Kind      Kind
	Detail    string
	Err       error
}

// Error implements error.
func (e *Error) Error() string {
	switch {
	case e.Err == nil:
		return fmt.Sprintf("%s: %s", e.Operation, e.Detail)
	case e.Detail == "":
		return fmt.Sprintf("%s: %v", e.Operation, e.Err)
	}
	return fmt.Sprintf("%s: %s: %v", e.Operation, e.Detail, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func failure(operation string, kind Kind, err error, format string, args ...any) *Error {
	return &Error{
		Operation: operation,
		Kind:      kind,
		Detail:    fmt.Sprintf(format, args...),
		Err:       err,
	}
}
