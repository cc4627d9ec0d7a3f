package engine

import (
	"context"
	"net/netip"

	"persimmoncross/io/transport/socket"
)

// IsDown implements [persimmoncross.Prober].
func (c *Client) IsDown(ctx context.Context, address netip.AddrPort) bool {
	if c.Down != nil {
		return c.Down(ctx, address)
	}
	return socket.Refused(ctx, address)
}

// Accepts implements [persimmoncross.Prober].
func (c *Client) Accepts(ctx context.Context, address netip.AddrPort) bool {
	if c.Accepting != nil {
		return c.Accepting(ctx, address)
	}
	return socket.Accepts(ctx, address)
}
