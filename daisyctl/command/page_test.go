package command_test

import (
	"os"
	"strings"
	"testing"

	"daisyshed.dev/daisyctl/command"
	"daisyshed.dev/wire/settings"
	"github.com/matryer/is"
)

func TestEverySettingIsOnThePage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("testdata/SETTINGS.md")
	is.NoErr(err)
	is.Equal(strings.Join(settings.MissingFromPage(string(page), "## daisyctl", command.Settings{}), ", "), "")
}
