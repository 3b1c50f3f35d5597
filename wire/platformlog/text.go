package platformlog

import (
	"fmt"
	"time"

	"daisyshed.dev/core"
)

// Duration is a duration that is written as text, such as "540ms".
type Duration time.Duration

// MarshalText writes the duration in the notation of [time.Duration].
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads the notation that MarshalText writes.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return &TextError{Type: "duration", Text: string(text)}
	}
	*d = Duration(v)
	return nil
}

// TextError says that a text names no value of its type.
type TextError struct {
	Type string
	Text string
}

// Error names the type and the text.
func (e *TextError) Error() string { return fmt.Sprintf("%q is not a %s", e.Text, e.Type) }

// named is an enum of core that is written by its name.
type named interface {
	~int
	fmt.Stringer
}

// parseName finds the value whose name is text among the count values of T.
func parseName[T named](typeName string, count int, text []byte) (T, error) {
	for v := range T(count) {
		if v.String() == string(text) {
			return v, nil
		}
	}
	return 0, &TextError{Type: typeName, Text: string(text)}
}

// profileKind is a [core.ProfileKind] that is written by its name.
type profileKind core.ProfileKind

// MarshalText writes the kind's name.
func (k profileKind) MarshalText() ([]byte, error) {
	return []byte(core.ProfileKind(k).String()), nil
}

// UnmarshalText reads the kind's name.
func (k *profileKind) UnmarshalText(text []byte) error {
	v, err := ParseProfileKind(string(text))
	*k = profileKind(v)
	return err
}

// ParseProfileKind finds a kind of profile by its name.
func ParseProfileKind(name string) (core.ProfileKind, error) {
	return parseName[core.ProfileKind]("profile kind", int(core.Service)+1, []byte(name))
}

// role is a [core.Role] that is written by its name.
type role core.Role

// MarshalText writes the role's name.
func (r role) MarshalText() ([]byte, error) { return []byte(core.Role(r).String()), nil }

// UnmarshalText reads the role's name.
func (r *role) UnmarshalText(text []byte) error {
	v, err := ParseRole(string(text))
	*r = role(v)
	return err
}

// ParseRole finds a role by its name.
func ParseRole(name string) (core.Role, error) {
	return parseName[core.Role]("role", int(core.Plain)+1, []byte(name))
}

// outcome is a [core.Outcome] that is written by its name.
type outcome core.Outcome

// MarshalText writes the outcome's name.
func (o outcome) MarshalText() ([]byte, error) { return []byte(core.Outcome(o).String()), nil }

// UnmarshalText reads the outcome's name.
func (o *outcome) UnmarshalText(text []byte) error {
	v, err := parseName[core.Outcome]("outcome", int(core.Unknown)+1, text)
	*o = outcome(v)
	return err
}
