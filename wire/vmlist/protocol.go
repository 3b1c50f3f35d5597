// Package vmlist defines the protocol of the platform's VM list, JSON over HTTP,
// and a client that reads it.
package vmlist

// VMsPath responds to GET with a List.
const VMsPath = "/v1/vms"

// List is the list of VMs known to the platform. It may be some seconds old.
type List struct {
	VMs []VM
}

// VM is one virtual machine. An entry VM runs a node of daisyshed: its Address is
// for other nodes, its CallerAddress for callers, and its Pool is empty.
type VM struct {
	ID string
	// Kind is Entry, Engine or Service.
	Kind          string
	Pool          string
	Domain        string
	Region        string
	Address       string
	CallerAddress string
	// State is Live or Leaving.
	State string
}
