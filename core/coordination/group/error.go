package group

import "fmt"

// ErrorKind classifies an [Error].
type ErrorKind uint8

// The kinds of error.
const (
	NotLeader      ErrorKind = iota + 1 // this member does not lead, or is transferring its leadership
	QueueFull                           // the event queue is full, and nothing was proposed
	OutcomeUnknown                      // the outcome is unknown; the command may still be committed
	ChangeRejected                      // the change of voters was rejected; Err holds the reason
	Stopped                             // the replica has stopped
)

// Error is the error type of the package's operations.
type Error struct {
	Operation string
	Kind      ErrorKind
	Leader    string // VM of the leader, "" if unknown
	Err       error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("group: %s: %v", e.Operation, e.Err)
	}
	return fmt.Sprintf("group: %s: %s", e.Operation, [...]string{"", "not the leader", "ring full", "leadership lost", "refused", "stopped"}[e.Kind])
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func newError(operation string, kind ErrorKind, leader string, err error) *Error {
	return &Error{
		Operation: operation,
		Kind:      kind,
		Leader:    leader,
		Err:       err,
	}
}
