package command

import (
	"io"

	"daisyshed.dev/core"
)

// validateCommand checks the documents in files.
type validateCommand struct {
	app     *app
	Offline bool     `long:"offline" description:"do not read the pools in force; files must name all pools that their profiles use"`
	Args    fileArgs `positional-args:"yes"`
}

// validationResult lists documents without faults. Against is the offset of the
// configuration that they were checked against, or zero with --offline.
type validationResult struct {
	Documents []string
	Against   core.Offset
}

func (v validationResult) print(w io.Writer) {
	for _, d := range v.Documents {
		printLine(w, "%s: valid", d)
	}
	if v.Against > 0 {
		printLine(w, "checked against the configuration at offset %d", v.Against)
	}
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	documents, err := readFiles(c.Args.Files)
	if err != nil {
		return err
	}
	var result validationResult
	pools := map[core.PoolID]core.Pool{}
	if !c.Offline {
		ctx, cancel := c.app.withTimeout()
		defer cancel()
		log, err := c.app.openLog(ctx)
		if err != nil {
			return err
		}
		pools = log.PoolsByID()
		result.Against = log.Offset()
	}
	if err := checkProfiles(documents, pools); err != nil {
		return err
	}
	for _, d := range documents {
		result.Documents = append(result.Documents, d.Name())
	}
	return c.app.show(result)
}
