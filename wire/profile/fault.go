package profile

import "daisyshed.dev/wire/settings"

// Fault is one error in a document. File and Line are empty for a value that was
// not read from a file.
type Fault = settings.Fault

// Faults are all the errors in a document or file.
type Faults = settings.Faults
