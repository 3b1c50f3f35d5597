package main

import (
	"encoding/json"
	"io"
	"strings"
	"time"

	"daisyshed.dev/bench/experiment"
	"daisyshed.dev/bench/scenario"
	"github.com/samber/oops"
)

// command holds the command-line options.
type command struct {
	Scenario []string      `long:"scenario" description:"scenario to run; may be repeated"`
	Policy   []string      `long:"policy" description:"policy to run; may be repeated; all if absent"`
	Seed     []uint64      `long:"seed" default:"1" description:"seed of arrivals and of all random choices; may be repeated"`
	Duration time.Duration `long:"duration" default:"60s" description:"length of the measured window in virtual time"`
	All      bool          `long:"all" description:"run every scenario"`
	Plot     string        `long:"plot" value-name:"FILE.png" description:"draw the results"`
	Workers  int           `long:"workers" default:"1" description:"runs at one time"`
}

// NoScenarioError reports that no scenario was selected.
type NoScenarioError struct{}

// Error tells the user how to select scenarios.
func (NoScenarioError) Error() string { return "name a scenario with --scenario, or use --all" }

// describe returns the help text, which lists the names of all scenarios and
// policies.
func describe() string {
	var b strings.Builder
	b.WriteString("Runs scenarios under placement policies on virtual time.\n\nScenarios:\n")
	for _, s := range scenario.All() {
		b.WriteString("  " + s.Name + "\n")
	}
	b.WriteString("\nPolicies:\n")
	for _, p := range experiment.Policies() {
		b.WriteString("  " + p.Name + "\n")
	}
	return b.String()
}

func (c *command) run(w io.Writer) error {
	runs, err := c.runs()
	if err != nil {
		return oops.Wrapf(err, "command line")
	}
	results, err := c.execute(runs, json.NewEncoder(w))
	if err != nil {
		return oops.Wrapf(err, "write results")
	}
	if c.Plot == "" {
		return nil
	}
	return oops.Wrapf(experiment.Plot(results, c.Plot), "plot")
}

// runs returns one run for each combination of the selected scenarios, seeds
// and policies.
func (c *command) runs() ([]*experiment.Run, error) {
	scenarios, err := c.scenarios()
	if err != nil {
		return nil, err
	}
	policies, err := c.policies()
	if err != nil {
		return nil, err
	}
	var runs []*experiment.Run
	for _, s := range scenarios {
		for _, seed := range c.Seed {
			for _, p := range policies {
				runs = append(runs, &experiment.Run{Scenario: s, Policy: p, Seed: seed, Window: c.Duration})
			}
		}
	}
	return runs, nil
}

func (c *command) scenarios() ([]scenario.Scenario, error) {
	if c.All {
		return scenario.All(), nil
	}
	if len(c.Scenario) == 0 {
		return nil, NoScenarioError{}
	}
	var chosen []scenario.Scenario
	for _, name := range c.Scenario {
		s, err := scenario.Find(name)
		if err != nil {
			return nil, err
		}
		chosen = append(chosen, s)
	}
	return chosen, nil
}

func (c *command) policies() ([]experiment.Policy, error) {
	if len(c.Policy) == 0 {
		return experiment.Policies(), nil
	}
	var chosen []experiment.Policy
	for _, name := range c.Policy {
		p, err := experiment.FindPolicy(name)
		if err != nil {
			return nil, err
		}
		chosen = append(chosen, p)
	}
	return chosen, nil
}

// execute executes the runs, at most Workers at one time, and writes their
// results in the order of the runs.
func (c *command) execute(runs []*experiment.Run, out *json.Encoder) ([]experiment.Result, error) {
	slots := make(chan struct{}, max(c.Workers, 1))
	done := make(chan chan experiment.Result, len(runs))
	go func() {
		defer close(done)
		for i, r := range runs {
			runs[i] = nil
			slots <- struct{}{}
			result := make(chan experiment.Result, 1)
			go func() {
				result <- r.Result()
				<-slots
			}()
			done <- result
		}
	}()
	var results []experiment.Result
	for result := range done {
		r := <-result
		results = append(results, r)
		if err := out.Encode(r); err != nil {
			return nil, err
		}
	}
	return results, nil
}
