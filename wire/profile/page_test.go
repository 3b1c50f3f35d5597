package profile_test

import (
	"os"
	"strings"
	"testing"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/settings"
	"github.com/matryer/is"
)

func TestEveryFieldIsOnThePage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("testdata/PROFILES.md")
	is.NoErr(err)
	is.Equal(strings.Join(settings.MissingFromPage(string(page), "## Profile", core.Profile{}), ", "), "")
	is.Equal(strings.Join(settings.MissingFromPage(string(page), "## Pool", core.Pool{}), ", "), "")
}
