package httpserver

import (
	"context"
	"net"
	"time"

	"daisyshed.dev/daisyshed/tcp"
)

// stopCheckInterval is the interval at which Stop ends connections that became idle.
const stopCheckInterval = 10 * time.Millisecond

// Stop stops serving l, a listener of package tcp whose connections a server tracks by
// [tcp.TrackState]. It accepts no more connections than those that have been opened, ends
// those that wait for a request, and returns once the others have ended too, or with the
// error of ctx.
//
// [http.Server.Shutdown] does not fit: it drops a request that has just been read from a
// kept connection, and its caller cannot tell that from one that was lost while it ran.
func Stop(ctx context.Context, l net.Listener) error {
	tcp.StopAccepting(l)
	t := time.NewTicker(stopCheckInterval)
	defer t.Stop()
	for tcp.CloseIdle(l) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}
