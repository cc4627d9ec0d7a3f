package disk

import "fmt"

// Kind classifies an [Error].
type Kind uint8

// The kinds of error.
const (
	InUse   Kind = iota + 1 // another running process owns the folder
	Damaged                 // a file was changed after it had been synced
	Failed                  // the system refused an operation
)

// Error is what the package's operations return.
type Error struct {
	Operation string
	Kind      Kind
	Path      string
	Err       error
	Advice    string // what the operator can do
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("disk: %s %s", e.Operation, e.Path)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	if e.Advice != "" {
		s += "; " + e.Advice
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func failure(operation, path string, err error) *Error {
	return &Error{
		Operation: operation,
		Kind:      Failed,
		Path:      path,
		Err:       err,
	}
}
