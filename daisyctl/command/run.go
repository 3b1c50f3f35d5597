// Package command implements the commands of daisyctl.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"daisyshed.dev/daisyctl/configlog"
	"daisyshed.dev/daisyctl/operator"
	"daisyshed.dev/wire/platformlog"
	"github.com/jessevdk/go-flags"
)

const (
	// requestTimeout limits one HTTP request to the log or a daemon.
	requestTimeout = 5 * time.Second
	// publishRetryInterval is the pause between two attempts to publish.
	publishRetryInterval = 300 * time.Millisecond
	// rolloutPollInterval is the pause between two polls of the nodes' offsets.
	rolloutPollInterval = 200 * time.Millisecond
)

// globalOptions holds the options that all commands accept.
type globalOptions struct {
	Settings string        `long:"settings" value-name:"FILE" env:"DAISYCTL_SETTINGS" description:"settings in YAML: Log, Daemons, Operator"`
	Log      string        `long:"log" value-name:"URL" description:"base URL of the platform's log"`
	Daemons  []string      `long:"daemon" value-name:"URL" description:"operator URL of a daemon; may be given several times"`
	Operator string        `long:"operator" value-name:"NAME" description:"name that publications carry; else $USER"`
	JSON     bool          `long:"json" description:"print JSON for programs instead of tables"`
	Timeout  time.Duration `long:"timeout" value-name:"TIME" default:"19s" description:"bound on the whole command, and on the wait until a publication is in force"`

	http *http.Client
}

// app is the state that all commands share.
type app struct {
	globalOptions
	ctx    context.Context
	stdout io.Writer
}

// Run runs the command given by args and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	a := &app{ctx: ctx, stdout: stdout}
	a.http = &http.Client{Timeout: requestTimeout}
	parser, err := newParser(a)
	if err == nil {
		parser.CompletionHandler = a.complete
		_, err = parser.ParseArgs(args)
	}
	var usage *flags.Error
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprint(stdout, help(parser, usage.Message))
	case err != nil:
		_, _ = fmt.Fprintln(stderr, "daisyctl:", err)
	}
	return exitCode(err)
}

// complete prints the possible next words, one per line. go-flags calls it instead
// of running a command when bashCompletion requests completions.
func (a *app) complete(words []flags.Completion) {
	for _, w := range words {
		printLine(a.stdout, "%s", w.Item)
	}
}

// withTimeout returns a context that ends after --timeout.
func (a *app) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, a.Timeout)
}

// openLog reads the configuration from the log.
func (a *app) openLog(ctx context.Context) (*configlog.Log, error) {
	s, err := a.readSettings()
	if err != nil {
		return nil, err
	}
	if s.Log == "" {
		return nil, &InvalidError{What: "Log", Problem: "is not set; give its URL with --log or in the settings"}
	}
	l := &configlog.Log{Client: &platformlog.Client{Base: s.Log, HTTP: a.http}}
	return l, l.Sync(ctx)
}

// fleet returns a client of the configured daemons.
func (a *app) fleet() (*operator.Fleet, error) {
	s, err := a.readSettings()
	if err != nil {
		return nil, err
	}
	return &operator.Fleet{URLs: s.Daemons, HTTP: a.http}, nil
}

// help returns what --help prints. Without a command it also lists all commands.
func help(parser *flags.Parser, message string) string {
	if parser.Active != nil {
		return message + exitHelp
	}
	var b strings.Builder
	b.WriteString(message + "\nAll commands:\n")
	for _, c := range parser.Commands() {
		if len(c.Commands()) == 0 {
			fmt.Fprintf(&b, "  %-17s %s\n", c.Name, c.ShortDescription)
		}
		for _, sub := range c.Commands() {
			fmt.Fprintf(&b, "  %-17s %s\n", c.Name+" "+sub.Name, sub.ShortDescription)
		}
	}
	return b.String() + exitHelp
}
