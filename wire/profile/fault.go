package profile

import "daisyshed.dev/wire/settings"

// Fault is one thing wrong with a document. File and Line are empty for a
// value that was not read from a file.
type Fault = settings.Fault

// Faults are all that is wrong, in the order of the lines.
type Faults = settings.Faults
