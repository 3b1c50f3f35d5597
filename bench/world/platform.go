package world

import (
	"errors"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/fault"
	"daisyshed.dev/wire/platformlog"
	"daisyshed.dev/wire/vmlist"
)

// Publish appends a publication to the configuration stream, as an operator
// would. It ignores errors.
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
	if stream == core.ConfigStream && (err == nil || isReplyLost(err)) {
		w.addConfigRecords(records)
	}
	return first, err
}

// addConfigRecords keeps a copy of the records of the configuration stream, which
// stays readable while the log is faulty.
func (w *World) addConfigRecords(records []core.Record) {
	for _, r := range records {
		w.configRecords = append(w.configRecords, core.LogRecord{
			Offset: core.Offset(len(w.configRecords) + 1), At: int64(w.Now), Record: r,
		})
	}
}

// isReplyLost reports whether an operation took effect but its reply was lost.
func isReplyLost(err error) bool {
	var lost fault.ReplyLost
	return errors.As(err, &lost)
}

// InjectLogFault injects a fault into the log.
func (w *World) InjectLogFault(f fault.Fault) { w.log.Injector.Inject(f) }

// InjectVMListFault injects a fault into the VM list.
func (w *World) InjectVMListFault(f fault.Fault) { w.vms.Injector.Inject(f) }

// SetVM adds or replaces a VM in the VM list, or removes it if its state says so.
func (w *World) SetVM(vm vmlist.VM) { _ = w.vms.Set(w.Now, vm) }

// MarkVMLeaving lists an engine's VM as leaving.
func (w *World) MarkVMLeaving(u core.Upstream) {
	u.Leaving = true
	w.SetVM(upstreamVM(u, vmlist.KindEngine))
}

// TryPublish appends a publication and reports whether the log holds it, which
// includes the case that only the reply was lost.
func (w *World) TryPublish(r core.Record) bool {
	_, err := w.appendRecords(core.ConfigStream, []core.Record{r})
	if err == nil || isReplyLost(err) {
		w.recordWithdrawal(r)
		return true
	}
	return false
}

// recordWithdrawal records when a pool was withdrawn, or that it no longer is.
func (w *World) recordWithdrawal(r core.Record) {
	p, ok := r.(core.PoolPublished)
	if !ok {
		return
	}
	if !p.Pool.Withdrawn {
		delete(w.withdrawnAt, p.Pool.ID)
		return
	}
	if _, already := w.withdrawnAt[p.Pool.ID]; !already {
		w.withdrawnAt[p.Pool.ID] = w.Now
	}
}

// WithdrawnSince returns when a pool was withdrawn, and whether it is withdrawn.
func (w *World) WithdrawnSince(id core.PoolID) (core.Instant, bool) {
	at, ok := w.withdrawnAt[id]
	return at, ok
}

// Configuration returns the configuration that results from the records appended
// to the log. It does not depend on the log's faults.
func (w *World) Configuration() *core.FoldedConfiguration {
	folded := &core.FoldedConfiguration{}
	for _, r := range w.configRecords {
		folded.Apply(r)
	}
	return folded
}
