package store

import (
	"context"
	"errors"

	"daisyshed.dev/core"
	"daisyshed.dev/platform"
)

// Claim requests the exclusive right to send orders to engines, by appending to
// the store's claims at offset c.At, and sends the outcome to the core. If another
// claim was appended there first, the outcome contains the offset at which the
// claims end now; it may also be unknown. Claim does not block.
func (w *Watcher) Claim(c core.ClaimOrders) {
	go func() {
		era, err := w.Store.Claim(context.Background(), w.Self.ID, c.At)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			w.Log.Info().Str("Event", "OrdersClaimed").Int64("Offset", int64(c.At)).Int64("Era", int64(era)).Send()
			w.SendToCore(core.OrdersClaimed{Ticket: c.Ticket, Offset: c.At, Era: era})
		case errors.As(err, &conflict):
			w.Log.Info().Str("Event", "OrdersNotClaimed").Int64("Offset", int64(c.At)).Int64("End", int64(conflict.End)).Send()
			w.SendToCore(core.OrdersNotClaimed{Ticket: c.Ticket, Known: true, End: conflict.End})
		default:
			w.Log.Warn().Str("Event", "OrdersNotClaimed").Int64("Offset", int64(c.At)).Err(err).Send()
			w.SendToCore(core.OrdersNotClaimed{Ticket: c.Ticket})
		}
	}()
}
