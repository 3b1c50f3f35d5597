package upstream

import "daisyshed.dev/core"

// UseRelays sets the nodes through which connections are opened.
func (c *Client) UseRelays(core.UseRelays) {}
