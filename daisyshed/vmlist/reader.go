// Package vmlist reads the platform's VM list for the control goroutine.
package vmlist

import (
	"context"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/vmlist"
)

// Reader reads the VM list and sends the result as a message.
type Reader struct {
	Client     *vmlist.Client
	Timeout    time.Duration
	SendToCore func(core.Message)
}

// Read reads the list without blocking its caller.
func (r *Reader) Read() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
		defer cancel()
		list, err := r.Client.Read(ctx)
		if err != nil {
			r.SendToCore(core.VMListReadFailed{Reason: err.Error()})
			return
		}
		r.SendToCore(list)
	}()
}
