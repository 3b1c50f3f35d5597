package settings

import "strings"

// MissingFromPage returns the fields of settings that are missing from the first
// column of the table below heading in a page of documentation. Tests use it to
// check that the documentation is complete.
func MissingFromPage(page, heading string, settings any) []string {
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
