package capacity

import "time"

// The users' target.
const (
	TargetNodes     = 410
	TargetRegions   = 6
	TargetUpstreams = 12_000
	TargetRequests  = 36_000
	TargetCustomers = 2_200
	TargetModels    = 15
	// TargetChanges is the number of configuration changes a day, and
	// TargetInForce the time in which each is in force everywhere.
	TargetChanges = 13_000
	TargetInForce = 19 * time.Second
	// TargetVMChanges is the number of VMs a day that fail, restart or are
	// replaced.
	TargetVMChanges = 1_220
	// The budgets of a node's control.
	BudgetCore   = 0.043
	BudgetMemory = 64 << 20
	BudgetBytes  = 5_000
)

const day = 24 * time.Hour

// modelName is the model that measured engines serve.
const modelName = "plot-scribe"
