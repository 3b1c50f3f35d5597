// Command mutants runs the randomised tests of cmd/soak against mutants of the
// core, each broken on purpose, and prints the violation found for each. It fails
// if the tests miss a mutant.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"daisyshed.dev/bench/mutants"
	"github.com/jessevdk/go-flags"
)

// options holds the command-line flags.
type options struct {
	Core  string   `long:"core" default:"../core" description:"folder of the core's source"`
	Seed  uint64   `long:"seed" default:"1" description:"first seed"`
	Seeds int      `long:"seeds" default:"12" description:"seeds to try for each mutant"`
	Only  []string `long:"only" description:"run only this mutant (repeatable)"`
	// Hosted selects the mutants of the hosted daemon.
	Hosted bool `long:"hosted" description:"run the mutants of the hosted daemon, with real processes"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var e *flags.Error
		if errors.As(err, &e) && e.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := o.run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// SurvivedError reports mutants for which no test found the expected violation.
type SurvivedError struct{ Names []string }

// Error lists the mutants' names.
func (e *SurvivedError) Error() string { return "broken cores passed: " + strings.Join(e.Names, ", ") }

func (o options) run() error {
	dir, err := os.MkdirTemp("", "mutants")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	coreDir, err := filepath.Abs(o.Core)
	if err != nil {
		return err
	}
	t := tally{}
	if o.Hosted {
		for _, m := range mutants.Hosted {
			if o.selected(m.Name) {
				found, err := o.runHostedMutant(m, filepath.Dir(coreDir), dir)
				if err != nil {
					return err
				}
				t.add(m.Mutant, found)
			}
		}
		return t.finish()
	}
	for _, m := range mutants.All {
		if o.selected(m.Name) {
			found, err := o.runMutant(m, coreDir, dir)
			if err != nil {
				return err
			}
			t.add(m, found)
		}
	}
	return t.finish()
}

// tally counts the mutants that were detected and those that were not.
type tally struct {
	caught   int
	survived []string
}

// add prints and counts the result for a mutant.
func (t *tally) add(m mutants.Mutant, found string) {
	fmt.Printf("%-28s breaks %-22s %s\n", m.Name, m.Promise, found)
	if found == notDetected {
		t.survived = append(t.survived, m.Name)
		return
	}
	t.caught++
}

// finish prints the counts and returns an error if a mutant was not detected.
func (t *tally) finish() error {
	fmt.Printf("%d passed, %d failed\n", t.caught, len(t.survived))
	if len(t.survived) > 0 {
		return &SurvivedError{Names: t.survived}
	}
	return nil
}

func (o options) selected(name string) bool {
	if len(o.Only) == 0 {
		return true
	}
	for _, only := range o.Only {
		if only == name {
			return true
		}
	}
	return false
}

// notDetected is the result of runMutant if no seed detected the mutant.
const notDetected = "NOT NOTICED"

// runMutant builds cmd/soak with a mutant of the core and runs it for each seed
// until one reports a violation of the promise that the mutant breaks. It returns
// the seed and the reported line, or notDetected.
func (o options) runMutant(m mutants.Mutant, coreDir, dir string) (string, error) {
	overlay, err := m.Overlay(coreDir, dir)
	if err != nil {
		return "", err
	}
	program := filepath.Join(dir, m.Name)
	build := exec.Command("go", "build", "-overlay", overlay, "-o", program, "./cmd/soak")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return "", err
	}
	for i := range o.Seeds {
		seed := strconv.FormatUint(o.Seed+uint64(i), 10)
		args := []string{"--seed", seed, "--steps", "1", "--faulty", "30s"}
		for _, kind := range m.Only {
			args = append(args, "--only", kind)
		}
		out, err := exec.Command(program, args...).Output()
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			return "", err
		}
		if line := findViolation(out, m.Promise.String()); line != "" {
			return "seed " + seed + ": " + line, nil
		}
	}
	return notDetected, nil
}

// findViolation returns the first line of the output that reports a violation of
// the promise, or "".
func findViolation(out []byte, promise string) string {
	for _, line := range bytes.Split(out, []byte("\n")) {
		text := strings.TrimSpace(string(line))
		if strings.Contains(text, " "+promise+": ") {
			return text
		}
	}
	return ""
}
