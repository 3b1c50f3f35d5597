package platform

import (
	"slices"
	"sync"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/standin/fault"
	"daisyshed.dev/wire/vmlist"
)

// Removed is the state that removes a VM from the list in VMs.Set.
const Removed = "Removed"

// VMs is the platform's VM list, in which changes appear with a delay. Set its
// exported fields before use. Its methods are safe for concurrent use.
type VMs struct {
	// Lag is the delay until a change appears in the list.
	Lag time.Duration
	// Listed is the initial list. List updates it with the changes that are at
	// least Lag old.
	Listed []vmlist.VM
	// Injector injects faults.
	Injector fault.Injector

	mu      sync.Mutex
	changes []vmChange
}

// vmChange is a change that is not in the list yet.
type vmChange struct {
	at core.Instant
	vm vmlist.VM
}

// Set adds or replaces a VM, or removes it if its state is Removed. The change
// appears in the list after Lag.
func (v *VMs) Set(now core.Instant, vm vmlist.VM) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.Injector.BeforeOperation(); err != nil {
		return err
	}
	v.changes = append(v.changes, vmChange{now, vm})
	return v.Injector.AfterOperation()
}

// List returns the VMs as they were Lag before now.
func (v *VMs) List(now core.Instant) (vmlist.List, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.Injector.BeforeOperation(); err != nil {
		return vmlist.List{}, err
	}
	for len(v.changes) > 0 && v.changes[0].at <= now.Add(-v.Lag) {
		v.apply(v.changes[0].vm)
		v.changes = v.changes[1:]
	}
	return vmlist.List{VMs: slices.Clone(v.Listed)}, v.Injector.AfterOperation()
}

func (v *VMs) apply(vm vmlist.VM) {
	i := slices.IndexFunc(v.Listed, func(x vmlist.VM) bool { return x.ID == vm.ID })
	switch {
	case vm.State == Removed && i >= 0:
		v.Listed = slices.Delete(v.Listed, i, i+1)
	case vm.State == Removed:
	case i >= 0:
		v.Listed[i] = vm
	default:
		v.Listed = append(v.Listed, vm)
	}
}
