package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// check runs a subcommand with --check on a settings file. It returns the exit
// status and the output, in which the file's path is replaced by its base name.
func check(t *testing.T, name, settings string) (int, string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "s.yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	status := run([]string{name, "--settings", file, "--check"}, &out, &out)
	return status, strings.ReplaceAll(out.String(), file, "s.yaml")
}

func TestCheckAcceptsSettings(t *testing.T) {
	for name, settings := range map[string]string{
		"engine":  "Address: 127.0.0.1:1\nID: e\nRole: Decode\nModel: m\nHoldFor: 900ms\nTokenBytes: 1e5\n",
		"log":     "Address: 127.0.0.1:1\nRetention: 2h\n",
		"vms":     "Address: 127.0.0.1:1\nVMs:\n- {ID: a, Kind: Entry, Address: 127.0.0.1:2, State: Live}\n",
		"weights": "Address: 127.0.0.1:1\nModels: [m]\n",
		"ledger":  "Address: 127.0.0.1:1\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, out := check(t, name, settings)
			is.Equal(out, "s.yaml: settings are valid\n")
			is.Equal(status, 0)
		})
	}
}

func TestCheckReportsAllFaults(t *testing.T) {
	for _, test := range []struct{ name, settings, want string }{
		{
			"log", "Adress: x\nRetention: soon\nAppendsPerSecond: [1]\n",
			"s.yaml:1: Adress: is not a known field; known fields are Address, Retention, AppendsPerSecond\n" +
				"s.yaml:1: Address: is required\n" +
				"s.yaml:2: Retention: must be a duration with its unit, such as 250ms or 5s\n" +
				"s.yaml:3: AppendsPerSecond: must be a number\n",
		},
		{"ledger", "Address: x\nAddress: y\n", "s.yaml:2: Address: is given twice\n"},
		{"engine", "Address: x\nModel: m\nPieces: 0\nRole: Plain\n", "s.yaml:1: ID: is required\n" +
			"s.yaml:3: Pieces: is not positive\ns.yaml:4: Role: is not Prefill or Decode\n"},
		{
			"vms", "Address: x\nVMs:\n- ID: a\n  Kind: Entry\n  Address: y\n  State: Gone\n",
			"s.yaml:6: VMs[0].State: is not Live or Leaving\n",
		},
		{"ledger", "- a\n", "s.yaml:1: must be a mapping\ns.yaml:1: Address: is required\n"},
		{"ledger", "Address: [\n", "s.yaml:1: is not valid YAML: sequence end token ']' not found\n"},
		{"ledger", "", "s.yaml:1: is empty\ns.yaml:1: Address: is required\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			status, out := check(t, test.name, test.settings)
			is.Equal(out, test.want)
			is.Equal(status, 1)
		})
	}
}
