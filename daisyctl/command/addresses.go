package command

import (
	"fmt"
	"io"

	"daisyshed.dev/daisyctl/caller"
)

// addressesCommand shows what callers are told.
type addressesCommand struct{ app *app }

type addressAnswers struct{ Answers []addressAnswer }

// addressAnswer is what one daemon tells callers.
type addressAnswer struct {
	Node      string
	Error     string `json:",omitempty"`
	Addresses caller.Addresses
}

// Execute implements flags.Commander.
func (c *addressesCommand) Execute([]string) error {
	answers, err := c.app.ask()
	if err != nil {
		return err
	}
	ctx, cancel := c.app.deadline()
	defer cancel()
	var out addressAnswers
	for _, a := range answers {
		if a.Err != nil {
			continue
		}
		one := addressAnswer{Node: string(a.Value.Node.ID)}
		one.Addresses, err = caller.Ask(ctx, c.app.http, a.Value.Node.CallerAddress)
		if err != nil {
			one.Error = err.Error()
		}
		out.Answers = append(out.Answers, one)
	}
	return c.app.show(out)
}

func (l addressAnswers) print(w io.Writer) {
	var rows [][]string
	for _, a := range l.Answers {
		if a.Error != "" {
			line(w, "%s: %s", a.Node, a.Error)
			continue
		}
		for _, x := range a.Addresses.Addresses {
			rows = append(rows, []string{
				a.Node, string(x.Node), string(x.Domain), x.Address, fmt.Sprintf("%.2f", x.Weight),
				fmt.Sprintf("%dms", a.Addresses.LifetimeMs),
			})
		}
	}
	table(w, "ASKED NODE DOMAIN ADDRESS WEIGHT LIFETIME", rows)
}
