package consensus

import "fmt"

// ErrorKind classifies an [Error].
type ErrorKind uint8

// The kinds of error.
const (
	NotLeader     ErrorKind = iota + 1 // another member leads, or none does
	ChangePending                      // a limit or an earlier change stands in the way
	InvalidChange                      // the change could lose the quorum
	NotCaughtUp                        // the member lacks too much of the log to vote
)

// Error is what the package's operations return.
type Error struct {
	Operation string
	Kind      ErrorKind
	Detail    string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("consensus: %s: %s", e.Operation, e.Detail) }

// IsNotLeader reports whether the operation belongs to another member.
func IsNotLeader(err error) bool {
	e, ok := err.(*Error)
	return ok && e.Kind == NotLeader
}

func newError(operation string, kind ErrorKind, format string, args ...any) *Error {
	return &Error{
		Operation: operation,
		Kind:      kind,
		Detail:    fmt.Sprintf(format, args...),
	}
}
