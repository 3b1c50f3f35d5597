package caller_test

import (
	"os"
	"strings"
	"testing"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/caller"
	"github.com/matryer/is"
)

func TestCallersPageListsEveryReason(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("testdata/CALLERS.md")
	is.NoErr(err)
	reasons := []caller.Reason{
		caller.BodyTooLarge, caller.BodyNotJSON, caller.BadField, caller.BadHeader,
		caller.NoSuchPath, caller.MethodNotAllowed, caller.TooManyRequests, caller.NoAnswer,
	}
	for reason := core.NoReason; reason <= core.AlreadyAnswered; reason++ {
		reasons = append(reasons, caller.Reason(reason.String()))
	}
	_, table, _ := strings.Cut(string(page), "\n| reason | status |")
	table, _, _ = strings.Cut(table, "\n\n")
	for _, reason := range reasons {
		if !strings.Contains(table, "`"+string(reason)+"`") {
			t.Errorf("docs/CALLERS.md does not list %s", reason)
		}
	}
}
