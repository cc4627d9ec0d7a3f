package engine

import (
	"errors"
	"fmt"

	"persimmoncross"
)

// failed returns the package's error, which is the root package's: what the
// decisions need of it is there.
func failed(reason string, run persimmoncross.RunStatus, format string, args ...any) *persimmoncross.AttemptError {
	return &persimmoncross.AttemptError{
		Reason: reason,
		Run:    run,
		Detail: fmt.Sprintf(format, args...),
	}
}

var errNoMark = errors.New("the stream ended before its end mark")

// cut returns the error of an attempt whose connection ended before its answer did.
func cut(reason string, run persimmoncross.RunStatus, err error) *persimmoncross.AttemptError {
	e := failed(reason, run, "%v", err)
	e.ConnectionLost = true
	return e
}
