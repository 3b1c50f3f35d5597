// Command bench runs scenarios under placement policies on virtual time and
// prints one JSON line for each run.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	var cmd command
	parser := flags.NewParser(&cmd, flags.Default)
	parser.LongDescription = describe()
	if _, err := parser.Parse(); err != nil {
		var failed *flags.Error
		if errors.As(err, &failed) && failed.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
	if err := cmd.run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
