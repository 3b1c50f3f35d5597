package command

// completionCommand prints a completion script.
type completionCommand struct {
	app  *app
	Args struct {
		Shell string `positional-arg-name:"bash"`
	} `positional-args:"yes" required:"yes"`
}

// bashCompletion is a bash script that gets completions from go-flags: with
// GO_FLAGS_COMPLETION set, daisyctl prints the possible next words.
const bashCompletion = `_daisyctl() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
    return 0
}
complete -F _daisyctl daisyctl`

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	if c.Args.Shell != "bash" {
		return &InvalidError{What: "completion", Problem: "is available for bash only"}
	}
	printLine(c.app.stdout, "%s", bashCompletion)
	return nil
}
