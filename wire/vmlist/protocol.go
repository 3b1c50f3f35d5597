// Package vmlist is the protocol towards the platform's VM list: JSON over
// HTTP.
package vmlist

// VMsPath answers GET with a List.
const VMsPath = "/v1/vms"

// List is the VMs that the platform knows, as of some seconds ago.
type List struct {
	VMs []VM
}

// VM is one virtual machine. Kind is Entry, Engine or Service. Pool is empty
// for entry VMs. For an entry VM, Address is where its peers reach it and
// CallerAddress where callers do.
type VM struct {
	ID            string
	Kind          string
	Pool          string
	Domain        string
	Region        string
	Address       string
	CallerAddress string
	// State is Live or Leaving.
	State string
}
