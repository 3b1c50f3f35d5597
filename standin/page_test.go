package main

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"daisyshed.dev/wire/settings"
)

// TestEverySettingIsOnThePage checks that the settings reference lists every
// field of each program's settings.
func TestEverySettingIsOnThePage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("testdata/SETTINGS.md")
	is.NoErr(err)
	for program, settingsOf := range map[string]any{
		"engine":  newEngineProgram(),
		"log":     newLogProgram(),
		"vms":     newVMsProgram(),
		"weights": newWeightsProgram(),
		"ledger":  newLedgerProgram(),
	} {
		is.Equal(strings.Join(settings.MissingFromPage(string(page), "### "+program, settingsOf), ", "), "")
	}
}
