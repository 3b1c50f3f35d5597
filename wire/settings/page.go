package settings

import "strings"

// Unlisted returns the fields of settings that a page does not list in the
// first column of a table below a heading, so that tests can keep pages
// complete.
func Unlisted(page, heading string, settings any) []string {
	_, section, _ := strings.Cut(page, "\n"+heading+"\n")
	section, _, _ = strings.Cut(section, "\n##")
	var out []string
	for _, name := range Names(settings) {
		if !strings.Contains(section, "\n| `"+name+"` |") {
			out = append(out, name)
		}
	}
	return out
}
