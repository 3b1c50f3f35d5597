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

// operators keeps the statuses that the loop answers.
type operators struct{ statuses chan core.AnswerStatus }

func (o operators) AnswerStatus(c core.AnswerStatus) { o.statuses <- c }
func (operators) LogDecision(core.Decision)          {}
func (operators) LogViolation(core.Violation)        {}

// quiet takes in what a node without peers or platform asks for.
type quiet struct{}

func (quiet) Post(core.NodeID, string, core.PeerBody) {}
func (quiet) Append(core.AppendLog)                   {}
func (quiet) Message(core.Message)                    {}
func (quiet) Command(core.Command)                    {}
func (quiet) Updated(time.Duration)                   {}

type quietLog struct{ quiet }

func (quietLog) Read(core.ReadLog) {}

type quietVMs struct{}

func (quietVMs) Read() {}

func TestLoopAnswersUntilItsContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inbox, closeInbox := control.OpenInbox(1)
		shown := operators{statuses: make(chan core.AnswerStatus, 1)}
		loop := &control.Loop{
			Node:     &core.Node{Self: core.NodeInfo{ID: "n"}, Incarnation: 1, Settings: core.DefaultSettings()},
			Inbox:    inbox,
			Clock:    control.MonotonicClock(time.Now()),
			Observer: quiet{},
			Executor: control.Executor{Peers: quiet{}, Log: quietLog{}, VMs: quietVMs{}, Operators: shown},
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan bool, 1)
		go func() { ended <- loop.Run(ctx) }()
		inbox.Send(core.StatusQuery{Query: "q"})
		is.Equal((<-shown.statuses).Query, core.CallID("q"))
		cancel()
		is.Equal(<-ended, false)
		closeInbox()
		// Nobody reads any more; a send returns all the same.
		for range 3 {
			inbox.Send(core.Tick{})
		}
	})
}

func TestClockFollowsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := control.MonotonicClock(time.Now())
		before := clock()
		time.Sleep(time.Hour)
		is.Equal(clock().Sub(before), time.Hour)
	})
}
