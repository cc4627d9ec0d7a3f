package socket

import (
	"context"
	"errors"
	"net/netip"
	"syscall"
	"time"
)

// refusedTimeout is a round trip between regions and more: who refuses a connection
// does so at once.
const refusedTimeout = 300 * time.Millisecond

// Refused reports whether a connection to the address is refused: nothing listens
// there. A connection that is made is closed unused; no answer at all, as from a VM
// without power or behind a cut link, tells nothing of a process.
func Refused(ctx context.Context, address netip.AddrPort) bool {
	raw, err := Dialer(refusedTimeout).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	raw.Close()
	return false
}

// Accepts reports whether a connection to the address is made at once. It is closed unused.
func Accepts(ctx context.Context, address netip.AddrPort) bool {
	raw, err := Dialer(refusedTimeout).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return false
	}
	raw.Close()
	return true
}
