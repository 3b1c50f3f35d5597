package command

import (
	"io"

	"daisyshed.dev/core"
)

// validateCommand checks files.
type validateCommand struct {
	app     *app
	Offline bool  `long:"offline" description:"do not read the pools in force; files must name all pools that their profiles use"`
	Args    files `positional-args:"yes"`
}

// validated is the result of a check without faults.
type validated struct {
	Documents []string
	Against   core.Offset
}

func (v validated) print(w io.Writer) {
	for _, d := range v.Documents {
		line(w, "%s: valid", d)
	}
	if v.Against > 0 {
		line(w, "checked against the configuration at offset %d", v.Against)
	}
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	documents, err := readFiles(c.Args.Files)
	if err != nil {
		return err
	}
	var result validated
	pools := map[core.PoolID]core.Pool{}
	if !c.Offline {
		ctx, cancel := c.app.deadline()
		defer cancel()
		log, err := c.app.openLog(ctx)
		if err != nil {
			return err
		}
		pools = log.PoolsByID()
		result.Against = log.Offset()
	}
	if err := checkAll(documents, pools); err != nil {
		return err
	}
	for _, d := range documents {
		result.Documents = append(result.Documents, d.Name())
	}
	return c.app.show(result)
}
