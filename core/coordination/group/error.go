package group

import "fmt"

// ErrorKind classifies an [Error].
type ErrorKind uint8

// The kinds of error.
const (
	NotLeader      ErrorKind = iota + 1 // propose at the VM named by Leader
	QueueFull                           // refused: nothing was proposed
	LeadershipLost                      // leadership was lost: the command may yet be committed
	ChangeRejected                      // the change of voters is not allowed
	Stopped                             // the group no longer runs
)

// Error is what the package's operations return.
type Error struct {
	Operation string
	Kind      ErrorKind
	Leader    string // the leader's VM, if known
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
