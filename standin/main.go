// Command standin runs a stand-in for one service of the platform (the log, the
// VM list or the weight store) or for one upstream (a model engine or a plain
// service).
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
	"github.com/samber/oops"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// command is the subcommand that runs one program.
type command struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"settings in YAML"`
	Check    bool   `long:"check" description:"check the settings and exit"`

	name    string
	program program
	stdout  io.Writer
}

// run parses the command line, runs the subcommand and returns the exit status
// of the process.
func run(args []string, stdout, stderr io.Writer) int {
	parser := flags.NewNamedParser("standin", flags.HelpFlag)
	for _, c := range []command{
		{name: "engine", program: newEngineProgram()},
		{name: "log", program: newLogProgram()},
		{name: "vms", program: newVMsProgram()},
		{name: "weights", program: newWeightsProgram()},
		{name: "ledger", program: newLedgerProgram()},
	} {
		c.stdout = stdout
		if _, err := parser.AddCommand(c.name, "Run the "+c.name+" stand-in", "", &c); err != nil {
			_, _ = fmt.Fprintln(stderr, err)
			return 2
		}
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, err)
		return 0
	default:
		_, _ = fmt.Fprintln(stderr, err)
		return 1
	}
}

// Execute implements flags.Commander: it checks the settings and, unless Check
// is set, runs the program until SIGTERM or an interrupt.
func (c *command) Execute(_ []string) error {
	if err := load(c.Settings, c.program); err != nil {
		return oops.In("settings").Wrap(err)
	}
	if c.Check {
		_, err := fmt.Fprintf(c.stdout, "%s: settings are valid\n", c.Settings)
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	logger := zerolog.New(c.stdout).With().Timestamp().Str("Program", c.name).Logger()
	c.logEvent(logger, "started")
	if err := c.program.Run(ctx); err != nil {
		return oops.In(c.name).Wrap(err)
	}
	c.logEvent(logger, "stopped")
	return nil
}

// logEvent writes a log line with the fields that identify the program.
func (c *command) logEvent(logger zerolog.Logger, message string) {
	event := logger.Info()
	c.program.describe(event)
	event.Msg(message)
}
