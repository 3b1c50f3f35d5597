package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"daisyshed.dev/bench/hosted"
	"daisyshed.dev/bench/mutants"
)

// hostedLength is for how long a run with a mutant of the hosted daemon injects faults.
const hostedLength = 8 * time.Second

// runHostedMutant builds the daemon with a mutant and runs the soak of real processes for
// each seed until its judge finds the rule broken that the mutant breaks. It returns the
// seed and the judge's line, or notDetected.
func (o options) runHostedMutant(m mutants.HostedMutant, repository, dir string) (string, error) {
	overlay, err := m.Overlay(repository, dir)
	if err != nil {
		return "", err
	}
	program := filepath.Join(dir, m.Name)
	build := exec.Command("go", "build", "-overlay", overlay, "-o", program, ".")
	build.Dir = filepath.Join(repository, "daisyshed")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return "", err
	}
	size, seeds := hosted.DefaultSize, m.Seeds
	size.Faults = m.Faults
	for i := 0; i < o.Seeds && len(m.Seeds) == 0; i++ {
		seeds = append(seeds, o.Seed+uint64(i))
	}
	for _, seed := range seeds {
		result, err := hosted.Run(program, seed, hostedLength, size)
		if err != nil {
			return "", err
		}
		if result.LogDir != "" {
			// Files left over stay in the system's directory for temporary files.
			_ = os.RemoveAll(result.LogDir)
		}
		for _, text := range result.Violations {
			if strings.HasPrefix(text, m.Rule) {
				return fmt.Sprintf("seed %d: %.160s", result.Seed, text), nil
			}
		}
	}
	return notDetected, nil
}
