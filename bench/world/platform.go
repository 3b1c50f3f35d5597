package world

import (
	"errors"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/fault"
	"daisyshed.dev/wire/platformlog"
	"daisyshed.dev/wire/vmlist"
)

// Publish appends a publication to the log, as an operator would.
func (w *World) Publish(r core.Record) {
	_, _ = w.appendRecords(core.ConfigStream, []core.Record{r})
}

func (w *World) appendRecords(stream core.StreamID, records []core.Record) (core.Offset, error) {
	var data [][]byte
	for _, r := range records {
		b, err := platformlog.Encode(r)
		if err != nil {
			return 0, err
		}
		data = append(data, b)
	}
	return w.log.Append(w.Now, stream, data)
}

func replyLost(err error) bool {
	var lost fault.ReplyLost
	return errors.As(err, &lost)
}

// LogFault sets a fault on the log.
func (w *World) LogFault(f fault.Fault) { w.log.Gate.Inject(f) }

// VMListFault sets a fault on the VM list.
func (w *World) VMListFault(f fault.Fault) { w.vms.Gate.Inject(f) }

// SetVM changes the VM list.
func (w *World) SetVM(vm vmlist.VM) { _ = w.vms.Set(w.Now, vm) }

// LeaveVM shows an upstream's VM as leaving.
func (w *World) LeaveVM(u core.Upstream) {
	u.Leaving = true
	w.SetVM(upstreamVM(u, vmlist.KindEngine))
}
