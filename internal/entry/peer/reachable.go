package peer

import (
	"context"
	"math"

	"connectrpc.com/connect"
)

// Reachable reports whether the process of c responds before ctx ends. The process responds without the scheduler or the
// log. A connection that breaks off is no response: it may have been cut anywhere.
func (c *Client) Reachable(ctx context.Context) bool {
	_, err := c.Config(ctx, &ConfigRequest{Version: math.MaxInt64})
	return err == nil || connect.IsWireError(err)
}
