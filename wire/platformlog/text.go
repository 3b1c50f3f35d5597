package platformlog

import (
	"fmt"
	"time"

	"daisyshed.dev/core"
)

// Duration is a [time.Duration] that is encoded as text, such as "540ms".
type Duration time.Duration

// MarshalText formats the duration as [time.Duration.String] does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses the duration with [time.ParseDuration].
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return &InvalidTextError{Type: "duration", Text: string(text)}
	}
	*d = Duration(v)
	return nil
}

// InvalidTextError reports that Text is not a valid value of Type.
type InvalidTextError struct {
	Type string
	Text string
}

// Error names the text and the type.
func (e *InvalidTextError) Error() string { return fmt.Sprintf("%q is not a %s", e.Text, e.Type) }

// enum is an enum type of core whose values are encoded by name.
type enum interface {
	~int
	fmt.Stringer
}

// parseName returns the value of T whose name is text. T has the values 0 to
// count-1.
func parseName[T enum](typeName string, count int, text []byte) (T, error) {
	for v := range T(count) {
		if v.String() == string(text) {
			return v, nil
		}
	}
	return 0, &InvalidTextError{Type: typeName, Text: string(text)}
}

// profileKind is a [core.ProfileKind] that is encoded by name.
type profileKind core.ProfileKind

// MarshalText returns the kind's name.
func (k profileKind) MarshalText() ([]byte, error) {
	return []byte(core.ProfileKind(k).String()), nil
}

// UnmarshalText parses the kind's name.
func (k *profileKind) UnmarshalText(text []byte) error {
	v, err := ParseProfileKind(string(text))
	*k = profileKind(v)
	return err
}

// ParseProfileKind returns the profile kind with the given name.
func ParseProfileKind(name string) (core.ProfileKind, error) {
	return parseName[core.ProfileKind]("profile kind", int(core.Service)+1, []byte(name))
}

// role is a [core.Role] that is encoded by name.
type role core.Role

// MarshalText returns the role's name.
func (r role) MarshalText() ([]byte, error) { return []byte(core.Role(r).String()), nil }

// UnmarshalText parses the role's name.
func (r *role) UnmarshalText(text []byte) error {
	v, err := ParseRole(string(text))
	*r = role(v)
	return err
}

// ParseRole returns the role with the given name.
func ParseRole(name string) (core.Role, error) {
	return parseName[core.Role]("role", int(core.Plain)+1, []byte(name))
}

// outcome is a [core.Outcome] that is encoded by name.
type outcome core.Outcome

// MarshalText returns the outcome's name.
func (o outcome) MarshalText() ([]byte, error) { return []byte(core.Outcome(o).String()), nil }

// UnmarshalText parses the outcome's name.
func (o *outcome) UnmarshalText(text []byte) error {
	v, err := parseName[core.Outcome]("outcome", int(core.Unknown)+1, text)
	*o = outcome(v)
	return err
}
