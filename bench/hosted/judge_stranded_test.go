package hosted_test

import (
	"strings"
	"testing"

	"daisyshed.dev/bench/hosted"
	"github.com/matryer/is"
)

// Nodes that reach no upstream may not serve much less than the others.
func TestJudgeOfStrandedNodes(t *testing.T) {
	type share = hosted.RecordedShare
	for _, c := range []struct {
		name   string
		shares []share
		broken bool
	}{
		{"not served", []share{{"n1", 30, false, false}, {"n2", 30, false, true}}, true},
		{"two thirds", []share{{"n1", 20, false, false}, {"n1", 40, false, true}, {"n2", 30, false, true}}, false},
		{"less than two thirds", []share{{"n1", 24, false, false}, {"n1", 40, false, true}, {"n2", 30, false, true}}, true},
		{"few failures", []share{{"n1", 10, false, false}, {"n2", 30, false, true}}, false},
		{"as at the others", []share{{"n1", 30, false, false}, {"n2", 30, false, false}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			verdict := hosted.JudgeShares(hosted.NodeStranded, c.shares...)
			is.Equal(len(verdict) == 1 && strings.HasPrefix(verdict[0], "RECOVER"), c.broken)
			is.Equal(len(verdict) > 0, c.broken)
		})
	}
}
