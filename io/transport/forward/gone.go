package forward

import (
	"context"
	"net/netip"

	"persimmoncross/io/transport/socket"
)

// Gone implements [persimmoncross.Prober].
func (c *Client) Gone(ctx context.Context, address netip.AddrPort) bool {
	c.count("probed")
	return socket.Refused(ctx, address)
}
