package hosted_test

import (
	"strings"
	"testing"

	"daisyshed.dev/bench/hosted"
	"daisyshed.dev/standin/hostedworker"
	"github.com/matryer/is"
)

// A low share of resumed streams that continue is a loss, unless their nodes are cut off from the
// store or new streams fail as often.
func TestJudgeOfResumedStreams(t *testing.T) {
	type share = hosted.RecordedShare
	for _, c := range []struct {
		name   string
		shares []share
		lost   bool
	}{
		{"few go on", []share{{"n2", 9, true, false}, {"n2", 4, true, true}, {"n2", 20, false, true}}, true},
		{"half go on", []share{{"n2", 7, true, false}, {"n2", 7, true, true}, {"n2", 20, false, true}}, false},
		{"too few to tell", []share{{"n2", 11, true, false}, {"n2", 20, false, true}}, false},
		{"out of touch", []share{{"n1", 13, true, false}, {"n2", 20, false, true}}, false},
		{"new ones fail too", []share{{"n2", 9, true, false}, {"n2", 4, true, true}, {"n2", 8, false, true}, {"n2", 12, false, false}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			verdict := hosted.JudgeShares(hosted.NodeCutOff, c.shares...)
			is.Equal(len(verdict) == 1 && strings.HasPrefix(verdict[0], "LOST"), c.lost)
			is.Equal(len(verdict) > 0, c.lost)
		})
	}
}

func TestJudgeOfOrders(t *testing.T) {
	type order = hostedworker.Order
	for _, c := range []struct {
		name   string
		orders []order
		broken bool
	}{
		{"rising", []order{{Holder: "n1", Fence: 1}, {Holder: "n1", Fence: 1}, {Holder: "n2", Fence: 2}}, false},
		{"going back", []order{{Holder: "n1", Fence: 2}, {Holder: "n1", Fence: 1}}, true},
		{"two holders", []order{{Holder: "n1", Fence: 2}, {Holder: "n2", Fence: 2}}, true},
		{"reborn", []order{{Holder: "n1", Fence: 2}, {Holder: "n2", Fence: 1, Born: 7}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			verdict := hosted.JudgeOrders(c.orders...)
			is.New(t).Equal(len(verdict) == 1 && strings.HasPrefix(verdict[0], "ONE"), c.broken)
		})
	}
}
