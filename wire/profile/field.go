package profile

import (
	"encoding"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/platformlog"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// field is one field of a document of type T. One table of fields serves
// reading, showing and comparing.
type field[T any] struct {
	name string
	// read sets the field from YAML and says what is wrong, or nothing.
	read func(v *T, n ast.Node) string
	// write shows the field as YAML on one line, or as nothing where it has
	// the zero value.
	write func(v *T) string
}

// profileFields are the fields of a profile, in the order of core.Profile.
var profileFields = []field[core.Profile]{
	textField("ID", func(p *core.Profile) *core.ProfileID { return &p.ID }),
	kindField,
	textField("Model", func(p *core.Profile) *core.ModelID { return &p.Model }),
	listField("PrefillPools", func(p *core.Profile) *[]core.PoolID { return &p.PrefillPools }),
	listField("DecodePools", func(p *core.Profile) *[]core.PoolID { return &p.DecodePools }),
	listField("ServicePools", func(p *core.Profile) *[]core.PoolID { return &p.ServicePools }),
	durationField("FirstTokenTarget", func(p *core.Profile) *time.Duration { return &p.FirstTokenTarget }),
	durationField("PerTokenTarget", func(p *core.Profile) *time.Duration { return &p.PerTokenTarget }),
	durationField("MaxWait", func(p *core.Profile) *time.Duration { return &p.MaxWait }),
	wholeField("Priority", func(p *core.Profile) *int { return &p.Priority }),
	shareField("BorrowedShare", func(p *core.Profile) *float64 { return &p.BorrowedShare }),
	shareField("WasteWeight", func(p *core.Profile) *float64 { return &p.WasteWeight }),
	boolField("Repeatable", func(p *core.Profile) *bool { return &p.Repeatable }),
	sharesField,
	shareField("DefaultShare", func(p *core.Profile) *float64 { return &p.DefaultShare }),
	wholeField("MaxTokens", func(p *core.Profile) *core.Tokens { return &p.MaxTokens }),
	listField("Withdrawn", func(p *core.Profile) *[]core.PoolID { return &p.Withdrawn }),
}

// poolFields are the fields of a pool, in the order of core.Pool.
var poolFields = []field[core.Pool]{
	textField("ID", func(p *core.Pool) *core.PoolID { return &p.ID }),
	textField("Team", func(p *core.Pool) *core.TeamID { return &p.Team }),
	roleField,
	textField("Model", func(p *core.Pool) *core.ModelID { return &p.Model }),
	boolField("Borrowed", func(p *core.Pool) *bool { return &p.Borrowed }),
	durationField("ReturnBy", func(p *core.Pool) *time.Duration { return &p.ReturnBy }),
	boolField("Fenced", func(p *core.Pool) *bool { return &p.Fenced }),
	boolField("Withdrawn", func(p *core.Pool) *bool { return &p.Withdrawn }),
}

var kindField = nameField(
	"Kind", "Generate or Service",
	func(p *core.Profile) *core.ProfileKind { return &p.Kind }, platformlog.ParseProfileKind,
)

var roleField = nameField(
	"Role", "Prefill, Decode or Plain",
	func(p *core.Pool) *core.Role { return &p.Role }, platformlog.ParseRole,
)

var sharesField = field[core.Profile]{
	name: "Shares",
	read: func(p *core.Profile, n ast.Node) string {
		shares := map[core.CustomerID]float64{}
		if !decodeNode(n, &shares) || n.Type() == ast.NullType {
			return "must map customers to numbers, such as {plot-7: 0.5}"
		}
		p.Shares = shares
		return ""
	},
	write: func(p *core.Profile) string {
		var parts []string
		for _, c := range slices.Sorted(maps.Keys(p.Shares)) {
			parts = append(parts, fmt.Sprintf("%s: %s", quote(string(c)), number(p.Shares[c])))
		}
		return bracket("{", parts, "}")
	},
}

func textField[T any, S ~string](name string, at func(*T) *S) field[T] {
	return field[T]{
		name: name,
		read: func(v *T, n ast.Node) string {
			text, ok := textOf(n)
			*at(v) = S(text)
			return unless(ok, "must be a text")
		},
		write: func(v *T) string { return quote(string(*at(v))) },
	}
}

func nameField[T any, E interface {
	~int
	fmt.Stringer
}](name, choices string, at func(*T) *E, parse func(string) (E, error),
) field[T] {
	return field[T]{
		name: name,
		read: func(v *T, n ast.Node) string {
			text, ok := textOf(n)
			e, err := parse(text)
			*at(v) = e
			return unless(ok && err == nil, "must be "+choices)
		},
		write: func(v *T) string { return (*at(v)).String() },
	}
}

func listField[T any, S ~string](name string, at func(*T) *[]S) field[T] {
	return field[T]{
		name: name,
		read: func(v *T, n ast.Node) string {
			list, ok := n.(*ast.SequenceNode)
			if !ok {
				return "must be a list, such as [pool-a, pool-b]"
			}
			var items []S
			for _, item := range list.Values {
				text, ok := textOf(item)
				if !ok {
					return "must be a list of texts"
				}
				items = append(items, S(text))
			}
			*at(v) = items
			return ""
		},
		write: func(v *T) string {
			var parts []string
			for _, s := range *at(v) {
				parts = append(parts, quote(string(s)))
			}
			return bracket("[", parts, "]")
		},
	}
}

func durationField[T any](name string, at func(*T) *time.Duration) field[T] {
	return field[T]{
		name: name,
		read: func(v *T, n ast.Node) string {
			var d platformlog.Duration
			ok := readText(n, &d)
			*at(v) = time.Duration(d)
			return unless(ok, `must be a duration with its unit, such as 540ms`)
		},
		write: func(v *T) string {
			if *at(v) == 0 {
				return ""
			}
			return (*at(v)).String()
		},
	}
}

func wholeField[T any, I ~int](name string, at func(*T) *I) field[T] {
	return field[T]{
		name: name,
		read: func(v *T, n ast.Node) string {
			var i int
			ok := n.Type() == ast.IntegerType && decodeNode(n, &i)
			*at(v) = I(i)
			return unless(ok, "must be a whole number")
		},
		write: func(v *T) string {
			if *at(v) == 0 {
				return ""
			}
			return strconv.Itoa(int(*at(v)))
		},
	}
}

func shareField[T any](name string, at func(*T) *float64) field[T] {
	return field[T]{
		name: name,
		read: func(v *T, n ast.Node) string {
			numeric := n.Type() == ast.IntegerType || n.Type() == ast.FloatType
			ok := numeric && decodeNode(n, at(v))
			return unless(ok, "must be a number")
		},
		write: func(v *T) string {
			if *at(v) == 0 {
				return ""
			}
			return number(*at(v))
		},
	}
}

func boolField[T any](name string, at func(*T) *bool) field[T] {
	return field[T]{
		name: name,
		read: func(v *T, n ast.Node) string {
			b, ok := n.(*ast.BoolNode)
			if !ok {
				return "must be true or false"
			}
			*at(v) = b.Value
			return ""
		},
		write: func(v *T) string {
			if !*at(v) {
				return ""
			}
			return "true"
		},
	}
}

// textOf returns the text of a scalar that YAML reads as a text.
func textOf(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	default:
		return "", false
	}
}

func readText(n ast.Node, v encoding.TextUnmarshaler) bool {
	text, ok := textOf(n)
	return ok && v.UnmarshalText([]byte(text)) == nil
}

func decodeNode(n ast.Node, v any) bool { return yaml.NodeToValue(n, v) == nil }

func unless(ok bool, problem string) string {
	if ok {
		return ""
	}
	return problem
}

func number(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func bracket(left string, parts []string, right string) string {
	if len(parts) == 0 {
		return ""
	}
	return left + strings.Join(parts, ", ") + right
}

// quote shows a text as it can stand in YAML. Names that the checker accepts
// need no quotes.
func quote(s string) string {
	if s == "" || namePattern.MatchString(s) && !reserved(s) {
		return s
	}
	return strconv.Quote(s)
}

// reserved says whether YAML would read a name as something other than a text.
func reserved(s string) bool {
	var v any
	if yaml.Unmarshal([]byte(s), &v) != nil {
		return true
	}
	_, isText := v.(string)
	return !isText
}
