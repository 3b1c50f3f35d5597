package command

import (
	"fmt"
	"io"

	"daisyshed.dev/daisyctl/caller"
)

// addressesCommand shows the node addresses that each daemon returns to callers.
type addressesCommand struct{ app *app }

type addressAnswers struct{ Answers []addressAnswer }

// addressAnswer is the address list that one daemon returns to callers, or the
// error from requesting it.
type addressAnswer struct {
	Node      string
	Error     string `json:",omitempty"`
	Addresses caller.AddressList
}

// Execute implements flags.Commander.
func (c *addressesCommand) Execute([]string) error {
	answers, err := c.app.fetchStatuses()
	if err != nil {
		return err
	}
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	var out addressAnswers
	for _, a := range answers {
		if a.Err != nil {
			continue
		}
		answer := addressAnswer{Node: string(a.Value.Node.ID)}
		answer.Addresses, err = caller.FetchAddresses(ctx, c.app.http, a.Value.Node.CallerAddress)
		if err != nil {
			answer.Error = err.Error()
		}
		out.Answers = append(out.Answers, answer)
	}
	return c.app.show(out)
}

func (l addressAnswers) print(w io.Writer) {
	var rows [][]string
	for _, a := range l.Answers {
		if a.Error != "" {
			printLine(w, "%s: %s", a.Node, a.Error)
			continue
		}
		for _, x := range a.Addresses.Addresses {
			rows = append(rows, []string{
				a.Node, string(x.Node), string(x.Domain), x.Address, fmt.Sprintf("%.2f", x.Weight),
				fmt.Sprintf("%dms", a.Addresses.LifetimeMs),
			})
		}
	}
	printTable(w, "ASKED NODE DOMAIN ADDRESS WEIGHT LIFETIME", rows)
}
