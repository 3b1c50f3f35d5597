package control_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/control"
	"github.com/matryer/is"
)

// statusRecorder implements control.Operators and records the statuses that it
// gets.
type statusRecorder struct{ statuses chan core.AnswerStatus }

func (o statusRecorder) DeliverStatus(c core.AnswerStatus) { o.statuses <- c }
func (statusRecorder) LogDecision(core.Decision)           {}
func (statusRecorder) LogViolation(core.Violation)         {}

// noop ignores the commands of a node without peers or platform, and what an
// observer receives.
type noop struct{}

func (noop) Enqueue(core.NodeID, string, core.PeerBody) {}
func (noop) Append(core.AppendLog)                      {}
func (noop) RecordMessage(core.Message)                 {}
func (noop) RecordCommand(core.Command)                 {}
func (noop) RecordUpdate(time.Duration)                 {}

type noopLog struct{ noop }

func (noopLog) Read(core.ReadLog) {}

type noopVMs struct{}

func (noopVMs) Read() {}

func TestLoopAnswersUntilItsContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inbox, closeInbox := control.OpenInbox(1)
		recorder := statusRecorder{statuses: make(chan core.AnswerStatus, 1)}
		loop := &control.Loop{
			Node:     &core.Node{Self: core.NodeInfo{ID: "n"}, Incarnation: 1, Settings: core.DefaultSettings()},
			Inbox:    inbox,
			Clock:    control.MonotonicClock(time.Now()),
			Observer: noop{},
			Executor: control.Executor{Peers: noop{}, Log: noopLog{}, VMs: noopVMs{}, Operators: recorder},
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan bool, 1)
		go func() { ended <- loop.Run(ctx) }()
		inbox.Send(core.StatusQuery{Query: "q"})
		is.Equal((<-recorder.statuses).Query, core.CallID("q"))
		cancel()
		is.Equal(<-ended, false)
		closeInbox()
		// Nothing reads the inbox any more, so sends beyond its size of one must
		// return without delivery.
		for range 3 {
			inbox.Send(core.Tick{})
		}
	})
}

func TestMonotonicClockFollowsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := control.MonotonicClock(time.Now())
		before := clock()
		time.Sleep(time.Hour)
		is.Equal(clock().Sub(before), time.Hour)
	})
}
