package store_test

import (
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/store"
	"daisyshed.dev/platform"
	"daisyshed.dev/standin/metastore"
	"daisyshed.dev/wire/peer"
	"github.com/matryer/is"
)

// keyed returns a record with a key and a value.
func keyed(key, value string) string { return string(rune(len(key))) + key + value }

// oddEntry returns a record with a sound entry in which old is replaced by with.
func oddEntry(old, with string) string {
	const sound = `{"Service":"s","Address":"127.0.0.1:9","Zone":"z","Version":"v1","Slots":2,"State":"ready","Stage":"decode","born":1}`
	return keyed("odd", strings.Replace(sound, old, with, 1))
}

// oddRecords are records that another writer may leave.
var oddRecords = map[string]string{
	"empty":              "",
	"no key":             "\x00{}",
	"key beyond the end": "\x7fabc",
	"junk":               keyed("odd", "junk"),
	"deep array":         keyed("odd", strings.Repeat("[", 100_000)),
	"deep object":        keyed("odd", strings.Repeat(`{"a":`, 100_000)),
	"deep field":         oddEntry(`"v1"`, strings.Repeat("[", 9000)+strings.Repeat("]", 9000)),
	"number too large":   oddEntry(`"Slots":2`, `"Slots":1e999`),
	"slots beyond int64": oddEntry(`"Slots":2`, `"Slots":9223372036854775808`),
	"slots maximal":      oddEntry(`"Slots":2`, `"Slots":9223372036854775807`),
	"slots negative":     oddEntry(`"Slots":2`, `"Slots":-9223372036854775808`),
	"slots zero":         oddEntry(`"Slots":2`, `"Slots":0`),
	"slots missing":      oddEntry(`"Slots":2,`, ``),
	"born too large":     oddEntry(`"born":1`, `"born":1e30`),
	"born maximal":       oddEntry(`"born":1`, `"born":9223372036854775807`),
	"born negative":      oddEntry(`"born":1`, `"born":-9223372036854775808`),
	"born a fraction":    oddEntry(`"born":1`, `"born":1.5`),
	"port out of range":  oddEntry("127.0.0.1:9", "127.0.0.1:99999"),
	"port negative":      oddEntry("127.0.0.1:9", "127.0.0.1:-1"),
	"port zero":          oddEntry("127.0.0.1:9", "127.0.0.1:0"),
	"port a name":        oddEntry("127.0.0.1:9", "127.0.0.1:http"),
	"port missing":       oddEntry("127.0.0.1:9", "127.0.0.1:"),
	"host missing":       oddEntry("127.0.0.1:9", ":9"),
	"host a name":        oddEntry("127.0.0.1:9", "worker.example:9"),
	"host unspecified":   oddEntry("127.0.0.1:9", "0.0.0.0:9"),
	"long version":       oddEntry(`"v1"`, `"`+strings.Repeat("v", 250_000)+`"`),
	"long zone":          oddEntry(`"z"`, `"`+strings.Repeat("z", 250_000)+`"`),
	"long service":       oddEntry(`"s"`, `"`+strings.Repeat("s", 250_000)+`"`),
	"escaped surrogate":  oddEntry(`"v1"`, `"\ud800"`),
	"control characters": keyed("a\r\nb: c", oddEntry("", "")[4:]),
	"key not text":       "\x03a\xffb" + oddEntry("", "")[4:],
	"key of braces":      "\xff" + strings.Repeat("{", 255) + "junk",
}

// oddCase is a node that reads the upstreams' entries of a store.
type oddCase struct {
	t        *testing.T
	store    *metastore.Store
	watcher  *store.Watcher
	messages chan core.Message
	node     *core.Node
	now      core.Instant
	// runs counts the requests that the node has forwarded.
	runs int
}

func newOddCase(t *testing.T) *oddCase {
	c := &oddCase{t: t}
	c.store, c.watcher, c.messages = newWatcher(t)
	c.node = &core.Node{Self: c.watcher.Self, Incarnation: 1, Settings: core.DefaultSettings(), Hosted: true}
	c.put("e1", "ready")
	state, err := platform.DecodeDesired([]byte(`{"Version":1,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","Kind":"idempotent",
		"TimeoutMs":1500,"SloMs":150,"Service":"s","MaxAttempts":2}],"Services":[{"Name":"s"}]}`), 0)
	is.New(t).NoErr(err)
	c.deliver(state)
	c.read(core.ReadInstances{Whole: true})
	return c
}

func (c *oddCase) put(id, state string) { c.store.Put("keyed.servers", id, entry(state)) }

// read has the watcher read entries and delivers them to the node.
func (c *oddCase) read(r core.ReadInstances) core.InstancesRead {
	c.watcher.ReadInstances(r)
	timeout := time.After(5 * time.Second)
	for {
		select {
		case m := <-c.messages:
			c.deliver(m)
			if read, ok := m.(core.InstancesRead); ok {
				return read
			}
			if _, ok := m.(core.InstancesReadFailed); ok {
				c.t.Fatal("reading the entries failed")
			}
		case <-timeout:
			c.t.Fatal("the entries were not read within 5 s")
		}
	}
}

// deliver delivers a message to the node, and checks that what it sends to others can be
// encoded and that it forwards requests to addresses only.
func (c *oddCase) deliver(m core.Message) []core.Command {
	c.now = c.now.Add(10 * time.Millisecond)
	out := c.node.Update(c.now, m)
	for _, command := range out {
		switch command := command.(type) {
		case core.SendPeer:
			c.encode(command.Body)
		case core.RunForward:
			c.runs++
			if _, err := netip.ParseAddrPort(command.Address); err != nil {
				c.t.Errorf("a request is sent to %q", command.Address)
			}
		default:
		}
	}
	return out
}

func (c *oddCase) encode(body core.PeerBody) {
	if _, err := peer.WriteFrame(io.Discard, core.PeerMessage{From: "n", Body: body}); err != nil {
		c.t.Errorf("%T cannot be sent to other nodes: %v", body, err)
	}
}

// checkOddRecord checks that the entries of others are followed beside an odd record, whether
// it is read from the log or from the list.
func checkOddRecord(t *testing.T, odd string) {
	t.Helper()
	is := is.New(t)
	c := newOddCase(t)
	c.store.PutRecord("keyed.servers", []byte(odd))
	c.put("e2", "ready")
	for _, m := range []core.InstancesRead{
		c.read(core.ReadInstances{After: 1}), c.read(core.ReadInstances{Whole: true}),
	} {
		found := false
		for _, i := range m.Changed {
			found = found || i.ID == "e2"
			addr, err := netip.ParseAddrPort(i.Address)
			if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
				t.Errorf("address %q is no address of an upstream", i.Address)
			}
			if n := len(i.Service) + len(i.Domain) + len(i.Version) + len(i.ID); n > 2048 {
				t.Errorf("names of %d bytes would be sent to all nodes", n)
			}
			if i.Slots < 1 || i.Slots+i.Slots/2 < i.Slots {
				t.Errorf("slots %d are no slots of an upstream", i.Slots)
			}
		}
		is.True(found) // the entry after the odd one
		is.Equal(m.Offset, core.Offset(c.store.Len("keyed.servers")))
		c.encode(core.InstancesChanged{Changed: m.Changed, Removed: m.Removed})
	}
	for id := range core.ForwardID(20) {
		c.deliver(core.Forward{ID: id + 1, Attempt: fmt.Sprint(id), Host: "h", Path: "/p/x", Patience: time.Second})
	}
	for range 20 {
		c.deliver(core.Tick{})
	}
	is.True(c.runs > 0)
}

// One odd record must not stop the others from being read, sent to other nodes and used.
func TestOddRecordStopsNoOthers(t *testing.T) {
	for name, odd := range oddRecords {
		t.Run(name, func(t *testing.T) { checkOddRecord(t, odd) })
	}
}

func FuzzOddRecord(f *testing.F) {
	for _, odd := range oddRecords {
		f.Add(odd)
	}
	f.Fuzz(func(t *testing.T, odd string) {
		if len(odd) > 1 && strings.HasPrefix(odd[1:], "e2") {
			t.Skip("replaces the sound entry")
		}
		checkOddRecord(t, odd)
	})
}
