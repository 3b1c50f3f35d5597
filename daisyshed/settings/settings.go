// Package settings parses and checks the settings file of an unhosted daemon.
package settings

import (
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/mutualtls"
)

// Settings has the content of a daemon's settings file. The keys of the file are
// the names of the fields.
type Settings struct {
	Node            core.NodeID   `help:"name of this node, stable across restarts"`
	Domain          core.DomainID `help:"failure domain of this node"`
	Region          core.RegionID `help:"region of this node"`
	CallerAddress   string        `help:"host:port where callers connect"`
	PeerAddress     string        `help:"host:port where other nodes connect"`
	OperatorAddress string        `help:"host:port where operators and metrics connect"`
	Log             string        `help:"base URL of the platform's log"`
	VMList          string        `help:"base URL of the platform's VM list"`
	Seeds           []Seed        `help:"nodes known at the start"`
	TLS             mutualtls.Files
	Limits          Limits  `help:"bounds on sizes and counts"`
	Periods         Periods `help:"periods and times"`
}

// Seed is another node that is known before the VM list has been read.
type Seed struct {
	Node          core.NodeID   `help:"name of the node"`
	Domain        core.DomainID `help:"failure domain of the node"`
	Region        core.RegionID `help:"region of the node"`
	PeerAddress   string        `help:"host:port where its peers connect"`
	CallerAddress string        `help:"host:port where its callers connect"`
}

// Limits bounds sizes and counts.
type Limits struct {
	BodyBytes           int `help:"bytes of a caller's body"`
	HeaderBytes         int `help:"bytes of a caller's or operator's headers"`
	CallerConnections   int `help:"connections from callers at a time"`
	PeerConnections     int `help:"connections from other nodes at a time"`
	OperatorConnections int `help:"connections from operators at a time"`
	Requests            int `help:"requests and calls in progress"`
	UpstreamConnections int `help:"connections to one upstream at a time"`
	PeerQueue           int `help:"messages that wait for one other node"`
	Inbox               int `help:"messages that wait for the control goroutine"`
	Decisions           int `help:"latest decisions kept for operators"`
	KeyWritersPerRegion int `help:"nodes of a region that write once-only keys"`
	Queue               int `help:"requests that wait at one owner for one profile"`
	MemoryBytes         int `help:"memory of the process in bytes, from which the bounds on what clients hold follow"`
}

// Periods holds intervals, timeouts and lifetimes.
type Periods struct {
	HeartbeatEvery time.Duration `help:"period of heartbeats to one random node"`
	SuspectAfter   time.Duration `help:"how long a heartbeat may stay unanswered"`
	DeadAfter      time.Duration `help:"how long a suspicion may stand unrefuted"`
	LogReadEvery   time.Duration `help:"period of reads of the log's end"`
	VMListEvery    time.Duration `help:"period of reads of the VM list"`
	PollEvery      time.Duration `help:"period of polls of each owned engine"`
	StaleAfter     time.Duration `help:"how long a node may go without news of the configuration"`
	ResumeWithin   time.Duration `help:"how long a stream is kept for its caller to come back"`
	PromiseValid   time.Duration `help:"how long a placement holds before it must begin"`
	StepTimeout    time.Duration `help:"bound on one step at an engine, and on the wait for one token"`
	PlaceTimeout   time.Duration `help:"bound on the wait for an owner's answer"`
	KeyBatchEvery  time.Duration `help:"least time between two appends of intents"`
	KeyMargin      time.Duration `help:"time taken off the log's retention before a key expires"`
	CallTimeout    time.Duration `help:"bound on a call to a plain service"`
	ClaimLease     time.Duration `help:"how long a claim to order an engine about lasts"`
	OrderFlight    time.Duration `help:"longest time an order may be in flight"`
	// The fields above are settings of the core; those below are used by the
	// daemon alone.
	HeaderTimeout   time.Duration `help:"bound on the reading of a request's headers"`
	ReadTimeout     time.Duration `help:"bound on the reading of a request's body"`
	WriteTimeout    time.Duration `help:"bound on the writing of one event or answer"`
	IdleTimeout     time.Duration `help:"how long an unused connection stays open"`
	DialTimeout     time.Duration `help:"bound on the making of a connection"`
	ControlTimeout  time.Duration `help:"bound on a poll, a release and an exchange with the platform"`
	OrderTimeout    time.Duration `help:"bound on an order, which may load a model"`
	AnswerTimeout   time.Duration `help:"bound on the wait for the answer to a plain call"`
	ShutdownTimeout time.Duration `help:"how long a node that leaves may take to finish"`
	StatusEvery     time.Duration `help:"period of the metrics that come from the node's status"`
}

// Default returns the default settings, which a settings file overrides.
func Default() Settings {
	d := core.DefaultSettings()
	return Settings{
		Limits: Limits{
			BodyBytes:           1 << 20,
			HeaderBytes:         16 << 10,
			CallerConnections:   4096,
			PeerConnections:     1024,
			OperatorConnections: 64,
			Requests:            4096,
			UpstreamConnections: 256,
			PeerQueue:           256,
			Inbox:               1024,
			Decisions:           4096,
			KeyWritersPerRegion: d.KeyWritersPerRegion,
			Queue:               d.MaxQueue,
			MemoryBytes:         1 << 30,
		},
		Periods: Periods{
			HeartbeatEvery:  d.HeartbeatEvery,
			SuspectAfter:    d.SuspectAfter,
			DeadAfter:       d.DeadAfter,
			LogReadEvery:    d.LogReadEvery,
			VMListEvery:     d.VMListEvery,
			PollEvery:       d.PollEvery,
			StaleAfter:      d.StaleAfter,
			ResumeWithin:    d.ResumeWithin,
			PromiseValid:    d.PromiseValid,
			StepTimeout:     d.StepTimeout,
			PlaceTimeout:    d.PlaceTimeout,
			KeyBatchEvery:   d.KeyBatchEvery,
			KeyMargin:       d.KeyMargin,
			CallTimeout:     d.CallTimeout,
			ClaimLease:      d.ClaimLease,
			OrderFlight:     d.OrderFlight,
			HeaderTimeout:   5 * time.Second,
			ReadTimeout:     10 * time.Second,
			WriteTimeout:    10 * time.Second,
			IdleTimeout:     time.Minute,
			DialTimeout:     time.Second,
			ControlTimeout:  2 * time.Second,
			OrderTimeout:    time.Minute,
			AnswerTimeout:   30 * time.Second,
			ShutdownTimeout: 30 * time.Second,
			StatusEvery:     5 * time.Second,
		},
	}
}
