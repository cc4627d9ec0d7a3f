package consensus

import "fmt"

// ErrorKind classifies an [Error].
type ErrorKind uint8

// The kinds of error.
const (
	NotLeader     ErrorKind = iota + 1 // this member does not lead, or is transferring its leadership
	ChangePending                      // an earlier change, or the leader's first entry, is not committed yet
	InvalidChange                      // the change does not fit the current voters, or would leave them without a quorum
	NotCaughtUp                        // the member lacks too much of the log to become a voter
)

// Error is the error type of the package's operations.
type Error struct {
	Operation string
	Kind      ErrorKind
	Detail    string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("consensus: %s: %s", e.Operation, e.Detail) }

// IsNotLeader reports whether err is an [Error] of kind [NotLeader].
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
