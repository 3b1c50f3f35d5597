package capacity

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/peer"
	"google.golang.org/protobuf/proto"
)

// Count is a number of messages and their total size.
type Count struct {
	Messages uint64
	Bytes    uint64
}

// Usage counts what the nodes of a fleet have done.
type Usage struct {
	// Kinds counts the messages between nodes by type, and the answers of the
	// log, the VM list and the engines.
	Kinds map[string]Count
	// Updates counts the calls of core.Node.Update, and UpdateTime is the time
	// spent in them.
	Updates    uint64
	UpdateTime time.Duration
	// Placed, Refused and Ended count requests: Refused those that were
	// rejected, Ended those that reached decoding. Placed is never set.
	Placed  uint64
	Refused uint64
	Ended   uint64
}

// Kinds of traffic other than messages between nodes.
const (
	logReadKind      = "log read"
	logAppendKind    = "log append"
	vmListKind       = "VM list"
	engineReportKind = "engine report"
	logRecordKind    = "log record"
)

// ControlKinds are the types of the messages between nodes whose number does
// not depend on the number of requests.
var ControlKinds = []string{
	"Heartbeat", "HeartbeatAck", "HeartbeatRequest", "ConfigQuery", "ConfigAnswer", "VMListQuery", "VMListAnswer",
	"HolderQuery", "HolderAnswer",
}

func newUsage() Usage { return Usage{Kinds: make(map[string]Count)} }

func (u *Usage) add(kind string, size int) {
	c := u.Kinds[kind]
	c.Messages++
	c.Bytes += uint64(size)
	u.Kinds[kind] = c
}

// Control returns the total of the control messages between nodes.
func (u *Usage) Control() Count {
	var total Count
	for kind, c := range u.Kinds {
		if slices.Contains(ControlKinds, kind) {
			total.Messages += c.Messages
			total.Bytes += c.Bytes
		}
	}
	return total
}

// Requests returns the total of the messages between nodes that requests and
// calls cause.
func (u *Usage) Requests() Count {
	var total Count
	for kind, c := range u.Kinds {
		if !slices.Contains(ControlKinds, kind) && !slices.Contains(platformKinds, kind) {
			total.Messages += c.Messages
			total.Bytes += c.Bytes
		}
	}
	return total
}

var platformKinds = []string{logReadKind, logAppendKind, vmListKind, engineReportKind, logRecordKind}

// messageSize returns the name of a message's type and the encoded size of its
// envelope, or zero bytes if the message cannot be encoded.
func messageSize(m core.PeerMessage) (kind string, size int) {
	kind = strings.TrimPrefix(fmt.Sprintf("%T", m.Body), "core.")
	envelope, err := peer.ToEnvelope(m)
	if err != nil {
		return kind, 0
	}
	return kind, proto.Size(envelope)
}
