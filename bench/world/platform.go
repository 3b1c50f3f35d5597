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
	first, err := w.log.Append(w.Now, stream, data)
	if stream == core.ConfigStream && (err == nil || replyLost(err)) {
		w.remember(records)
	}
	return first, err
}

// remember keeps the configuration's records beside the log.
func (w *World) remember(records []core.Record) {
	for _, r := range records {
		w.records = append(w.records, core.LogRecord{
			Offset: core.Offset(len(w.records) + 1), At: int64(w.Now), Record: r,
		})
	}
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

// TryPublish appends a publication and reports whether it is known to be in
// the log.
func (w *World) TryPublish(r core.Record) bool {
	_, err := w.appendRecords(core.ConfigStream, []core.Record{r})
	if err == nil || replyLost(err) {
		w.noteWithdrawal(r)
		return true
	}
	return false
}

// noteWithdrawal remembers when a pool was withdrawn.
func (w *World) noteWithdrawal(r core.Record) {
	p, ok := r.(core.PoolPublished)
	if !ok {
		return
	}
	if !p.Pool.Withdrawn {
		delete(w.withdrawn, p.Pool.ID)
		return
	}
	if _, already := w.withdrawn[p.Pool.ID]; !already {
		w.withdrawn[p.Pool.ID] = w.Now
	}
}

// WithdrawnSince returns when a pool was withdrawn, if it is.
func (w *World) WithdrawnSince(id core.PoolID) (core.Instant, bool) {
	at, ok := w.withdrawn[id]
	return at, ok
}

// Folded returns the configuration that the log holds, whatever its faults.
func (w *World) Folded() *core.FoldedConfiguration {
	folded := &core.FoldedConfiguration{}
	for _, r := range w.records {
		folded.Apply(r)
	}
	return folded
}
