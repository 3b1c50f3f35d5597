package statecheck

import "fmt"

//go:generate stringer -type=Severity,Part,Field -output=enums_string.go

// Severity says how bad a finding is.
type Severity int

// The severities.
const (
	// Warning findings take effect, but not all of what was written does, or it contradicts itself.
	Warning Severity = iota
	// Error findings are rejected by nodes, left out, out of range, or serve no request as written.
	Error
)

// Part is the part of a state in which something was found.
type Part int

// The parts of a state.
const (
	// Whole is the state as a whole.
	Whole Part = iota
	// RoutePart is a route.
	RoutePart
	// ServicePart is a service.
	ServicePart
	// TenantPart is a tenant.
	TenantPart
	// LimitsPart is the limits of callers.
	LimitsPart
)

// Field is a field of a part. Package platform has their names.
type Field int

// The fields.
const (
	// NoField stands for the part as a whole.
	NoField Field = iota
	VersionField
	RoutesField
	TenantsField
	NameField
	HostField
	PrefixField
	KindField
	TimeoutField
	ObjectiveField
	MaxPauseField
	PriorityField
	ServiceField
	SplitField
	MaxRunsField
	ResumableField
	PublicField
	MaxConnsField
	EngineField
	SlotsField
	MemoryField
	StrideField
	MaxLeaseField
	HandleTTLField
	RoleChangeField
	KeysField
	UnitField
	RateField
	BurstField
	PlainTokensField
	HeaderBytesField
	BodyBytesField
	HeaderTimeoutField
	IdleTimeoutField
)

// Place says where in a state something was found.
type Place struct {
	Part Part
	// Row is the index of the route, service or tenant, from zero. Name may be empty.
	Row   int
	Name  string
	Field Field
}

// at returns the place of a field of the same part.
func (p Place) at(f Field) Place {
	p.Field = f
	return p
}

// Finding is something wrong with a state, in one sentence.
type Finding struct {
	Place
	Severity Severity
	Text     string
}

// findings collects findings.
type findings []Finding

func (f *findings) add(s Severity, p Place, format string, args ...any) {
	*f = append(*f, Finding{Place: p, Severity: s, Text: fmt.Sprintf(format, args...)})
}

func (f *findings) errorf(p Place, format string, args ...any) { f.add(Error, p, format, args...) }
func (f *findings) warnf(p Place, format string, args ...any)  { f.add(Warning, p, format, args...) }

// errorIf adds an error if a condition holds.
func (f *findings) errorIf(wrong bool, p Place, format string, args ...any) {
	if wrong {
		f.errorf(p, format, args...)
	}
}

// warnIf adds a warning if a condition holds.
func (f *findings) warnIf(wrong bool, p Place, format string, args ...any) {
	if wrong {
		f.warnf(p, format, args...)
	}
}
