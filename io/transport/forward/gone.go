package forward

import (
	"context"
	"errors"
	"syscall"
	"time"

	"persimmoncross"
	"persimmoncross/io/transport/socket"
)

// goneTimeout is a round trip between regions and more: who answers a connection
// with a refusal does so at once.
const goneTimeout = 300 * time.Millisecond

// Gone implements [persimmoncross.Prober]: a connection that is refused tells that
// nothing listens there. A connection that is made is closed unused; no answer at
// all, as from a VM without power or behind a cut link, tells nothing of a process.
func (c *Client) Gone(ctx context.Context, u persimmoncross.Upstream) bool {
	c.count("probed")
	raw, err := socket.Dialer(goneTimeout).DialContext(ctx, "tcp", u.Address.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	raw.Close()
	return false
}
