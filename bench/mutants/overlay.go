package mutants

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
)

// NotFoundError reports an edit whose old text does not occur exactly once in
// its file. The mutant has to be updated to the current source of core.
type NotFoundError struct {
	Mutant string
	File   string
	// Count is how often the text occurs.
	Count int
}

// Error names the mutant and the file.
func (e *NotFoundError) Error() string {
	return "mutant " + e.Mutant + ": text to replace does not occur exactly once in " + e.File
}

// Overlay writes the mutant's edited files into dir, together with an overlay
// file for go build's -overlay flag that substitutes them for the originals below
// sourceDir. It returns the path of the overlay file.
func (m Mutant) Overlay(sourceDir, dir string) (string, error) {
	replace := make(map[string]string)
	for _, e := range m.Edits {
		original := filepath.Join(sourceDir, e.File)
		source := original
		if earlier, ok := replace[original]; ok {
			source = earlier
		}
		text, err := os.ReadFile(source)
		if err != nil {
			return "", err
		}
		if n := strings.Count(string(text), e.Old); n != 1 {
			return "", &NotFoundError{Mutant: m.Name, File: e.File, Count: n}
		}
		broken := filepath.Join(dir, m.Name+"-"+strings.ReplaceAll(e.File, "/", "-"))
		text = []byte(strings.Replace(string(text), e.Old, e.New, 1))
		if err := os.WriteFile(broken, text, 0o600); err != nil {
			return "", err
		}
		replace[original] = broken
	}
	return writeOverlay(filepath.Join(dir, m.Name+".json"), replace)
}

func writeOverlay(path string, replace map[string]string) (string, error) {
	data, err := json.Marshal(struct{ Replace map[string]string }{replace})
	if err != nil {
		return "", err
	}
	return path, os.WriteFile(path, data, 0o600)
}
