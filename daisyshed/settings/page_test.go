package settings_test

import (
	"os"
	"strings"
	"testing"

	"daisyshed.dev/daisyshed/settings"
	wire "daisyshed.dev/wire/settings"
	"github.com/matryer/is"
)

func TestEverySettingIsOnThePage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("testdata/SETTINGS.md")
	is.NoErr(err)
	is.Equal(strings.Join(wire.MissingFromPage(string(page), "## daisyshed", settings.Default()), ", "), "")
}
