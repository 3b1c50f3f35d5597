package operator

// Refusal is why a client's request was rejected before it was parsed, or its connection closed.
type Refusal int

//go:generate stringer -type=Refusal -output=refusal_string.go

const (
	// HeadTooLong is a head that exceeds the limit of bytes.
	HeadTooLong Refusal = iota
	// HeadsFull is a head for which there is no memory beside others.
	HeadsFull
	// ClientSilent is a connection that was closed for another one's sake.
	ClientSilent
)

// ClientRefused counts a refusal at a port.
func (m *Metrics) ClientRefused(port string, r Refusal) {
	m.scope.Tagged(map[string]string{"port": port, "reason": r.String()}).Counter("clients_refused_total").Inc(1)
}
