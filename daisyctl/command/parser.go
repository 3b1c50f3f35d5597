package command

import (
	"daisyshed.dev/daisyctl/configlog"
	"github.com/jessevdk/go-flags"
)

// commandEntry is one command with its name and short help.
type commandEntry struct {
	name    string
	help    string
	command any
}

// newParser returns the parser for all commands and global options.
func newParser(a *app) (*flags.Parser, error) {
	parser := flags.NewNamedParser("daisyctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "publishes profiles and pools and shows what daisyshed does"
	parser.LongDescription = "Publishes and revises profiles and pools, and shows what the daemons do. No command touches a single engine."
	if _, err := parser.AddGroup("Options", "", &a.globalOptions); err != nil {
		return nil, err
	}
	if err := addGroup(parser, "profile", "Publish, revise and show profiles", subjectCommands(a, configlog.Profile)); err != nil {
		return nil, err
	}
	if err := addGroup(parser, "pool", "Publish, revise and show pools", subjectCommands(a, configlog.Pool)); err != nil {
		return nil, err
	}
	upstreams := []commandEntry{{"list", "List the upstreams as reported by the daemons", &upstreamListCommand{app: a}}}
	if err := addGroup(parser, "upstream", "Show upstreams; no command here changes one", upstreams); err != nil {
		return nil, err
	}
	states := []commandEntry{{"check", "Check a desired state, and compare it with the one in force", &stateCheckCommand{app: a}}}
	if err := addGroup(parser, "state", "Check desired states of hosted deployments before they are sent", states); err != nil {
		return nil, err
	}
	return parser, addCommands(parser.Command, []commandEntry{
		{"status", "Show nodes, offsets, lag and invariant checks", &statusCommand{app: a}},
		{"explain", "Say why a request, or a hypothetical one, was placed or refused", &explainCommand{app: a}},
		{"watch", "Print changes as they happen", &watchCommand{app: a}},
		{"addresses", "Show the node addresses that daemons return to callers", &addressesCommand{app: a}},
		{"completion", "Print a shell completion script", &completionCommand{app: a}},
	})
}

// subjectCommands returns the commands that profiles and pools have in common.
func subjectCommands(a *app, kind configlog.Kind) []commandEntry {
	return []commandEntry{
		{"publish", "Publish the profiles and pools in files", &publishCommand{app: a}},
		{"revise", "Change fields of what is in force, without a file", &reviseCommand{app: a, kind: kind}},
		{"validate", "Check files, also against the configuration in force", &validateCommand{app: a}},
		{"diff", "Compare a file, or an earlier revision, with what is in force", &diffCommand{app: a, kind: kind}},
		{"history", "Show accepted and rejected publications of a profile or pool", &historyCommand{app: a, kind: kind}},
		{"list", "List what is in force", &listCommand{app: a, kind: kind}},
		{"show", "Print a profile or pool as a document", &showCommand{app: a, kind: kind}},
	}
}

func addGroup(parser *flags.Parser, name, help string, entries []commandEntry) error {
	command, err := parser.AddCommand(name, help, "", &struct{}{})
	if err != nil {
		return err
	}
	return addCommands(command, entries)
}

func addCommands(command *flags.Command, entries []commandEntry) error {
	for _, e := range entries {
		if _, err := command.AddCommand(e.name, e.help, "", e.command); err != nil {
			return err
		}
	}
	return nil
}
