package store_test

import (
	"testing"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/store"
	"daisyshed.dev/platform"
	"github.com/matryer/is"
)

// What one node appends to the log of streams is read by another, once each, and from the first
// record that the store still holds. A record that cannot be decoded is left out.
func TestLogOfStreamsIsRead(t *testing.T) {
	is := is.New(t)
	s, w, messages := newWatcher(t)
	origin := func(version core.SoftwareVersion, streams ...core.StreamKey) core.StreamOrigins {
		return core.StreamOrigins{ServiceVersion: core.ServiceVersion{Service: "s", Version: version}, Streams: streams}
	}
	write := func(list ...core.StreamOrigins) {
		w.AppendStreams(core.AppendStreams{Origins: list})
		is.Equal(nextMessage[core.StreamsAppended](t, messages), core.StreamsAppended{})
	}
	read := func() []core.StreamOrigins {
		w.ReadStreams(core.ReadStreams{Started: 7})
		m := nextMessage[core.StreamsRead](t, messages)
		is.Equal(m.Failed, false)
		is.Equal(m.Started, core.Instant(7))
		return m.Origins
	}
	write(origin("v1", 1, 2), origin("v2", 3))
	is.Equal(read(), []core.StreamOrigins{origin("v1", 1, 2), origin("v2", 3)})
	is.Equal(len(read()), 0)
	is.NoErr(w.Store.Append(t.Context(), platform.Streams, "", []byte("x")))
	write(origin("v2", 4))
	is.Equal(read(), []core.StreamOrigins{origin("v2", 4)})
	s.Compact(string(platform.Streams))
	write(origin("v2", 5))
	late := &store.Watcher{Store: w.Store, SendToCore: w.SendToCore, Log: w.Log}
	late.ReadStreams(core.ReadStreams{})
	is.Equal(nextMessage[core.StreamsRead](t, messages).Origins, []core.StreamOrigins{origin("v2", 5)})
}

// A store that does not answer is reported.
func TestFailedReadOfTheLogOfStreamsIsReported(t *testing.T) {
	is := is.New(t)
	_, w, messages := newWatcher(t)
	w.Store.Address = "127.0.0.1:1"
	w.ReadStreams(core.ReadStreams{Started: 7})
	is.Equal(nextMessage[core.StreamsRead](t, messages), core.StreamsRead{Started: 7, Failed: true})
	w.AppendStreams(core.AppendStreams{Origins: []core.StreamOrigins{{Streams: []core.StreamKey{1}}}})
	is.Equal(nextMessage[core.StreamsAppended](t, messages), core.StreamsAppended{Failed: true})
}

// Two nodes append every 100 ms the streams of two versions. A node that starts must read those of
// the time within which streams can be resumed, a minute.
func TestLogOfStreamsIsReadBackForAMinute(t *testing.T) {
	is := is.New(t)
	_, w, messages := newWatcher(t)
	const appends = 2 * 10 * 60
	for i := range core.StreamKey(appends) {
		var list []core.StreamOrigins
		for _, v := range []core.SoftwareVersion{"v1", "v2"} {
			list = append(list, core.StreamOrigins{ServiceVersion: core.ServiceVersion{Service: "s", Version: v}, Streams: []core.StreamKey{i + 1}})
		}
		w.AppendStreams(core.AppendStreams{Origins: list})
		is.Equal(nextMessage[core.StreamsAppended](t, messages), core.StreamsAppended{})
	}
	late := &store.Watcher{Store: w.Store, SendToCore: w.SendToCore, Log: w.Log}
	late.ReadStreams(core.ReadStreams{})
	m := nextMessage[core.StreamsRead](t, messages)
	is.Equal(m.Failed, false)
	is.Equal(len(m.Origins), 2*appends)
}
