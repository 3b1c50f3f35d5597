package main

import (
	"fmt"
	"maps"
	"os"
	"slices"

	"daisyshed.dev/wire/settings"
	"daisyshed.dev/wire/vmlist"
)

// load reads and checks a program's settings file. The error is a
// settings.Faults unless the file could not be read.
func load(file string, p program) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	d := settings.Parse(file, data, p)
	p.Check(d)
	return d.Err()
}

// reportMissing adds a fault to d for each required field without a value.
func reportMissing(d *settings.Document, fields map[string]string) {
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		if fields[field] == "" {
			d.AddFaultOnce(field, "is required")
		}
	}
}

// checkVM adds a fault to d for each missing or invalid field of the VM at
// index i of the list.
func checkVM(d *settings.Document, i int, vm vmlist.VM) {
	path := fmt.Sprintf("VMs[%d].", i)
	reportMissing(d, map[string]string{path + "ID": vm.ID, path + "Address": vm.Address})
	if !slices.Contains([]string{"Entry", "Engine", "Service"}, vm.Kind) {
		d.AddFaultOnce(path+"Kind", "is not Entry, Engine or Service")
	}
	if !slices.Contains([]string{"Live", "Leaving"}, vm.State) {
		d.AddFaultOnce(path+"State", "is not Live or Leaving")
	}
}
