package mutants

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
)

// NotFoundError says that an edit's old text does not stand exactly once in
// its file, so that the mutant has to be brought up to date.
type NotFoundError struct {
	Mutant string
	File   string
	Count  int
}

// Error names the mutant and the file.
func (e *NotFoundError) Error() string {
	return "mutant " + e.Mutant + ": its text does not stand exactly once in " + e.File
}

// Overlay writes a mutant's files and the overlay file that puts them in the
// place of the core's into dir, and returns the overlay file's path.
func (m Mutant) Overlay(coreDir, dir string) (string, error) {
	replace := make(map[string]string)
	for _, e := range m.Edits {
		original := filepath.Join(coreDir, e.File)
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
		broken := filepath.Join(dir, m.Name+"-"+e.File)
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
