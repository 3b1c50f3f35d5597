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

// field is one field of a document of type T. The tables of fields below define how
// documents are parsed, formatted and compared.
type field[T any] struct {
	name string
	// parse sets the field from YAML. It returns the problem, or an empty string.
	parse func(v *T, n ast.Node) string
	// format returns the field as YAML on one line, or an empty string if it is
	// not set. Enum fields are always set.
	format func(v *T) string
}

// profileFields are the fields of a profile, in the order of core.Profile.
var profileFields = []field[core.Profile]{
	stringField("ID", func(p *core.Profile) *core.ProfileID { return &p.ID }),
	kindField,
	stringField("Model", func(p *core.Profile) *core.ModelID { return &p.Model }),
	listField("PrefillPools", func(p *core.Profile) *[]core.PoolID { return &p.PrefillPools }),
	listField("DecodePools", func(p *core.Profile) *[]core.PoolID { return &p.DecodePools }),
	listField("ServicePools", func(p *core.Profile) *[]core.PoolID { return &p.ServicePools }),
	durationField("FirstTokenTarget", func(p *core.Profile) *time.Duration { return &p.FirstTokenTarget }),
	durationField("PerTokenTarget", func(p *core.Profile) *time.Duration { return &p.PerTokenTarget }),
	durationField("MaxWait", func(p *core.Profile) *time.Duration { return &p.MaxWait }),
	intField("Priority", func(p *core.Profile) *int { return &p.Priority }),
	floatField("BorrowedShare", func(p *core.Profile) *float64 { return &p.BorrowedShare }),
	floatField("WasteWeight", func(p *core.Profile) *float64 { return &p.WasteWeight }),
	boolField("Repeatable", func(p *core.Profile) *bool { return &p.Repeatable }),
	sharesField,
	floatField("DefaultShare", func(p *core.Profile) *float64 { return &p.DefaultShare }),
	intField("MaxTokens", func(p *core.Profile) *core.Tokens { return &p.MaxTokens }),
	listField("Withdrawn", func(p *core.Profile) *[]core.PoolID { return &p.Withdrawn }),
}

// poolFields are the fields of a pool, in the order of core.Pool.
var poolFields = []field[core.Pool]{
	stringField("ID", func(p *core.Pool) *core.PoolID { return &p.ID }),
	stringField("Team", func(p *core.Pool) *core.TeamID { return &p.Team }),
	roleField,
	stringField("Model", func(p *core.Pool) *core.ModelID { return &p.Model }),
	boolField("Borrowed", func(p *core.Pool) *bool { return &p.Borrowed }),
	durationField("ReturnBy", func(p *core.Pool) *time.Duration { return &p.ReturnBy }),
	boolField("Fenced", func(p *core.Pool) *bool { return &p.Fenced }),
	boolField("Withdrawn", func(p *core.Pool) *bool { return &p.Withdrawn }),
}

var kindField = enumField(
	"Kind", "Generate or Service",
	func(p *core.Profile) *core.ProfileKind { return &p.Kind }, platformlog.ParseProfileKind,
)

var roleField = enumField(
	"Role", "Prefill, Decode or Plain",
	func(p *core.Pool) *core.Role { return &p.Role }, platformlog.ParseRole,
)

var sharesField = field[core.Profile]{
	name: "Shares",
	parse: func(p *core.Profile, n ast.Node) string {
		shares := map[core.CustomerID]float64{}
		if !decodeNode(n, &shares) || n.Type() == ast.NullType {
			return "must map customers to numbers, such as {plot-7: 0.5}"
		}
		p.Shares = shares
		return ""
	},
	format: func(p *core.Profile) string {
		var parts []string
		for _, c := range slices.Sorted(maps.Keys(p.Shares)) {
			parts = append(parts, fmt.Sprintf("%s: %s", quoteIfNeeded(string(c)), formatFloat(p.Shares[c])))
		}
		return enclose("{", parts, "}")
	},
}

func stringField[T any, S ~string](name string, ptr func(*T) *S) field[T] {
	return field[T]{
		name: name,
		parse: func(v *T, n ast.Node) string {
			text, ok := stringValue(n)
			*ptr(v) = S(text)
			return problemUnless(ok, "must be a string")
		},
		format: func(v *T) string { return quoteIfNeeded(string(*ptr(v))) },
	}
}

func enumField[T any, E interface {
	~int
	fmt.Stringer
}](name, choices string, ptr func(*T) *E, parse func(string) (E, error),
) field[T] {
	return field[T]{
		name: name,
		parse: func(v *T, n ast.Node) string {
			text, ok := stringValue(n)
			e, err := parse(text)
			*ptr(v) = e
			return problemUnless(ok && err == nil, "must be "+choices)
		},
		format: func(v *T) string { return (*ptr(v)).String() },
	}
}

func listField[T any, S ~string](name string, ptr func(*T) *[]S) field[T] {
	return field[T]{
		name: name,
		parse: func(v *T, n ast.Node) string {
			list, ok := n.(*ast.SequenceNode)
			if !ok {
				return "must be a list, such as [pool-a, pool-b]"
			}
			var items []S
			for _, item := range list.Values {
				text, ok := stringValue(item)
				if !ok {
					return "must be a list of strings"
				}
				items = append(items, S(text))
			}
			*ptr(v) = items
			return ""
		},
		format: func(v *T) string {
			var parts []string
			for _, s := range *ptr(v) {
				parts = append(parts, quoteIfNeeded(string(s)))
			}
			return enclose("[", parts, "]")
		},
	}
}

func durationField[T any](name string, ptr func(*T) *time.Duration) field[T] {
	return field[T]{
		name: name,
		parse: func(v *T, n ast.Node) string {
			var d platformlog.Duration
			ok := unmarshalText(n, &d)
			*ptr(v) = time.Duration(d)
			return problemUnless(ok, `must be a duration with its unit, such as 540ms`)
		},
		format: func(v *T) string {
			if *ptr(v) == 0 {
				return ""
			}
			return (*ptr(v)).String()
		},
	}
}

func intField[T any, I ~int](name string, ptr func(*T) *I) field[T] {
	return field[T]{
		name: name,
		parse: func(v *T, n ast.Node) string {
			var i int
			ok := n.Type() == ast.IntegerType && decodeNode(n, &i)
			*ptr(v) = I(i)
			return problemUnless(ok, "must be a whole number")
		},
		format: func(v *T) string {
			if *ptr(v) == 0 {
				return ""
			}
			return strconv.Itoa(int(*ptr(v)))
		},
	}
}

func floatField[T any](name string, ptr func(*T) *float64) field[T] {
	return field[T]{
		name: name,
		parse: func(v *T, n ast.Node) string {
			numeric := n.Type() == ast.IntegerType || n.Type() == ast.FloatType
			ok := numeric && decodeNode(n, ptr(v))
			return problemUnless(ok, "must be a number")
		},
		format: func(v *T) string {
			if *ptr(v) == 0 {
				return ""
			}
			return formatFloat(*ptr(v))
		},
	}
}

func boolField[T any](name string, ptr func(*T) *bool) field[T] {
	return field[T]{
		name: name,
		parse: func(v *T, n ast.Node) string {
			b, ok := n.(*ast.BoolNode)
			if !ok {
				return "must be true or false"
			}
			*ptr(v) = b.Value
			return ""
		},
		format: func(v *T) string {
			if !*ptr(v) {
				return ""
			}
			return "true"
		},
	}
}

// stringValue returns the value of a YAML string, and false for any other node.
func stringValue(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	default:
		return "", false
	}
}

func unmarshalText(n ast.Node, v encoding.TextUnmarshaler) bool {
	text, ok := stringValue(n)
	return ok && v.UnmarshalText([]byte(text)) == nil
}

func decodeNode(n ast.Node, v any) bool { return yaml.NodeToValue(n, v) == nil }

func problemUnless(ok bool, problem string) string {
	if ok {
		return ""
	}
	return problem
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func enclose(left string, parts []string, right string) string {
	if len(parts) == 0 {
		return ""
	}
	return left + strings.Join(parts, ", ") + right
}

// quoteIfNeeded returns s as a YAML string. It leaves valid names unquoted unless
// YAML would parse them as another type.
func quoteIfNeeded(s string) string {
	if s == "" || namePattern.MatchString(s) && !readsAsNonString(s) {
		return s
	}
	return strconv.Quote(s)
}

// readsAsNonString reports whether YAML would not parse an unquoted name as a string.
func readsAsNonString(s string) bool {
	var v any
	if yaml.Unmarshal([]byte(s), &v) != nil {
		return true
	}
	_, isText := v.(string)
	return !isText
}
