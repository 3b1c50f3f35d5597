package main

import (
	"fmt"
	"maps"
	"slices"

	"daisyshed.dev/standin/settings"
	"daisyshed.dev/wire/vmlist"
)

// required returns a problem for each field without a value.
func required(fields map[string]string) []settings.Problem {
	var problems []settings.Problem
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		if fields[field] == "" {
			problems = append(problems, settings.Problem{Field: field, Reason: "is required"})
		}
	}
	return problems
}

func checkVM(i int, vm vmlist.VM) []settings.Problem {
	path := fmt.Sprintf("VMs[%d].", i)
	problems := required(map[string]string{path + "ID": vm.ID, path + "Address": vm.Address})
	if !slices.Contains([]string{"Entry", "Engine", "Service"}, vm.Kind) {
		problems = append(problems, settings.Problem{Field: path + "Kind", Reason: "is not Entry, Engine or Service"})
	}
	if !slices.Contains([]string{"Live", "Leaving"}, vm.State) {
		problems = append(problems, settings.Problem{Field: path + "State", Reason: "is not Live or Leaving"})
	}
	return problems
}
