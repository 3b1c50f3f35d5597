package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"daisyshed.dev/wire/profile"
)

// result is the output of a command. With --json it is encoded as JSON instead of
// printed.
type result interface {
	// print writes the result as text for people.
	print(w io.Writer)
}

// show writes a result to stdout as text, or as JSON with --json.
func (a *app) show(r result) error {
	if !a.JSON {
		r.print(a.stdout)
		return nil
	}
	e := json.NewEncoder(a.stdout)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// printLine formats and writes one line.
func printLine(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }

// printTable writes rows in aligned columns. The header has the column names,
// separated by spaces.
func printTable(w io.Writer, header string, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printLine(t, "%s", strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		printLine(t, "%s", strings.Join(row, "\t"))
	}
	_ = t.Flush()
}

// printChanges writes the old and new value of each changed field.
func printChanges(w io.Writer, changes []profile.Change) {
	for _, c := range changes {
		if c.From != "" {
			printLine(w, "  - %s: %s", c.Field, c.From)
		}
		if c.To != "" {
			printLine(w, "  + %s: %s", c.Field, c.To)
		}
	}
}

// formatDuration formats a duration rounded to the millisecond.
func formatDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }

// orDash returns s, or a dash if it is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// pluralize returns a count with its noun, in the plural unless n is 1.
func pluralize(n int, thing string) string {
	if n == 1 {
		return "1 " + thing
	}
	return fmt.Sprintf("%d %ss", n, thing)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
