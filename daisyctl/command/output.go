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

// result is what a command found. With --json it is printed as JSON.
type result interface {
	// print shows the result to people.
	print(w io.Writer)
}

// show prints a result in the way that the operator asked for.
func (a *app) show(r result) error {
	if !a.JSON {
		r.print(a.stdout)
		return nil
	}
	e := json.NewEncoder(a.stdout)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// line prints one line.
func line(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }

// table prints rows in columns.
func table(w io.Writer, header string, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line(t, "%s", strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		line(t, "%s", strings.Join(row, "\t"))
	}
	_ = t.Flush()
}

// printChanges shows the fields in which two values differ.
func printChanges(w io.Writer, changes []profile.Change) {
	for _, c := range changes {
		if c.From != "" {
			line(w, "  - %s: %s", c.Field, c.From)
		}
		if c.To != "" {
			line(w, "  + %s: %s", c.Field, c.To)
		}
	}
}

// short shows a duration to the millisecond.
func short(d time.Duration) string { return d.Round(time.Millisecond).String() }

// dash shows what is empty as a dash.
func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// count shows a number of things.
func count(n int, thing string) string {
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
