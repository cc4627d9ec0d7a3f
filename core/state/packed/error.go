package packed

import "fmt"

// Error is what the package's operations return: the data is damaged, claims too
// much, or was packed against another base.
type Error struct {
	Operation string
	Err       error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("packed: %s: %v", e.Operation, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func failure(operation string, err error) *Error {
	return &Error{
		Operation: operation,
		Err:       err,
	}
}
