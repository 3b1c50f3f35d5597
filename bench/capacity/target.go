package capacity

import "time"

// The size and load of the deployment that the users specified, and the budgets
// for what a node spends on control.
const (
	// TargetNodes is the number of nodes, spread over TargetRegions regions.
	TargetNodes   = 410
	TargetRegions = 6
	// TargetUpstreams is the number of upstreams, and TargetRequests the number
	// of requests per second to the whole deployment.
	TargetUpstreams = 12_000
	TargetRequests  = 36_000
	// TargetCustomers and TargetModels are the numbers of customers and of
	// models.
	TargetCustomers = 2_200
	TargetModels    = 15
	// TargetChanges is the number of configuration changes a day, and
	// TargetInForce the time within which each must be in force on all nodes.
	TargetChanges = 13_000
	TargetInForce = 19 * time.Second
	// TargetVMChanges is the number of VMs a day that fail, restart or are
	// replaced.
	TargetVMChanges = 1_220
	// BudgetCore is the share of a processor core, BudgetMemory the memory in
	// bytes, and BudgetBytes the bytes per second that a node may spend on
	// control.
	BudgetCore   = 0.043
	BudgetMemory = 64 << 20
	BudgetBytes  = 5_000
)

const day = 24 * time.Hour

// modelName is the model that the measured engines serve.
const modelName = "plot-scribe"
