package peer

import (
	"errors"
	"time"
)

// Ping returns how long a round trip to the VM takes on the connection to it.
func (n *Node) Ping(vm string) (time.Duration, error) {
	n.mu.Lock()
	l := n.links[vm]
	n.mu.Unlock()
	if l == nil {
		return 0, failure("ping", Unreachable, vm, errors.New("no such peer"))
	}
	session := l.get()
	if session == nil {
		return 0, failure("ping", Unreachable, vm, errors.New("no connection"))
	}
	took, err := session.Ping()
	if err != nil {
		return 0, failure("ping", Broken, vm, err)
	}
	return took, nil
}
