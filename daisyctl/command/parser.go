package command

import (
	"daisyshed.dev/daisyctl/configlog"
	"github.com/jessevdk/go-flags"
)

// entry is one command with its help.
type entry struct {
	name string
	help string
	data any
}

// newParser returns the parser of the whole command line.
func newParser(a *app) (*flags.Parser, error) {
	parser := flags.NewNamedParser("daisyctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "publishes profiles and pools and shows what daisyshed does"
	parser.LongDescription = "Publishes and revises profiles and pools, and shows what the daemons do. No command touches a single engine."
	if _, err := parser.AddGroup("Options", "", &a.global); err != nil {
		return nil, err
	}
	if err := addGroup(parser, "profile", "Publish, revise and look at profiles", subjectCommands(a, configlog.Profile)); err != nil {
		return nil, err
	}
	if err := addGroup(parser, "pool", "Revise and look at pools", subjectCommands(a, configlog.Pool)); err != nil {
		return nil, err
	}
	upstreams := []entry{{"list", "List the upstreams as the daemons see them", &upstreamList{app: a}}}
	if err := addGroup(parser, "upstream", "Look at upstreams; nothing here changes one", upstreams); err != nil {
		return nil, err
	}
	return parser, addAll(parser.Command, []entry{
		{"status", "Show nodes, offsets, lag and invariant checks", &statusCommand{app: a}},
		{"explain", "Say why a request, or a hypothetical one, was placed or refused", &explainCommand{app: a}},
		{"watch", "Print changes as they happen", &watchCommand{app: a}},
		{"addresses", "Show the nodes that callers are told to use", &addressesCommand{app: a}},
		{"completion", "Print a script for completion by a shell", &completionCommand{app: a}},
	})
}

func subjectCommands(a *app, kind configlog.Kind) []entry {
	return []entry{
		{"publish", "Publish the profiles and pools in files", &publishCommand{app: a}},
		{"revise", "Change fields of what is in force, without a file", &reviseCommand{app: a, kind: kind}},
		{"validate", "Check files, also against the configuration in force", &validateCommand{app: a}},
		{"diff", "Compare files, or two revisions of a name, with what is in force", &diffCommand{app: a, kind: kind}},
		{"history", "Show accepted and rejected publications of a name", &historyCommand{app: a, kind: kind}},
		{"list", "List what is in force", &listCommand{app: a, kind: kind}},
		{"show", "Print a name as a document", &showCommand{app: a, kind: kind}},
	}
}

func addGroup(parser *flags.Parser, name, help string, entries []entry) error {
	command, err := parser.AddCommand(name, help, "", &struct{}{})
	if err != nil {
		return err
	}
	return addAll(command, entries)
}

func addAll(command *flags.Command, entries []entry) error {
	for _, e := range entries {
		if _, err := command.AddCommand(e.name, e.help, "", e.data); err != nil {
			return err
		}
	}
	return nil
}
