package peer

import (
	"time"

	"daisyshed.dev/core"
)

func fromVersion(o core.Option[core.SoftwareVersion]) *string {
	version, ok := o.Get()
	if !ok {
		return nil
	}
	text := string(version)
	return &text
}

func toVersion(text *string) core.Option[core.SoftwareVersion] {
	if text == nil {
		return core.None[core.SoftwareVersion]()
	}
	return core.Some(core.SoftwareVersion(*text))
}

func fromStreamsBegun(b core.StreamsBegun) *StreamsBegun {
	return &StreamsBegun{
		Service: string(b.Service), Version: string(b.Version),
		Streams: convertAll(b.Streams, func(k core.StreamKey) uint64 { return uint64(k) }), Log: b.Log, Corrects: b.Corrects,
	}
}

func toStreamsBegun(b *StreamsBegun) core.PeerBody {
	return core.StreamsBegun{
		Service: core.ServiceID(b.GetService()), Version: core.SoftwareVersion(b.GetVersion()),
		Streams: convertAll(b.GetStreams(), func(k uint64) core.StreamKey { return core.StreamKey(k) }), Log: b.GetLog(), Corrects: b.GetCorrects(),
	}
}

func fromWindowReported(b core.WindowReported) *WindowReported {
	return &WindowReported{Service: string(b.Service), Version: string(b.Version), WindowNanos: int64(b.Window), Recorded: b.Recorded}
}

func toWindowReported(b *WindowReported) core.PeerBody {
	return core.WindowReported{
		ServiceVersion: core.ServiceVersion{Service: core.ServiceID(b.GetService()), Version: core.SoftwareVersion(b.GetVersion())},
		Window:         time.Duration(b.GetWindowNanos()), Recorded: b.GetRecorded(),
	}
}

func toVersionQuery(b *VersionQuery) core.PeerBody {
	return core.VersionQuery{Service: core.ServiceID(b.GetService()), Stream: core.StreamKey(b.GetStream()), Search: b.GetSearch()}
}

func fromServiceVersions(list []core.ServiceVersion) []*ServiceVersion {
	return convertAll(list, func(v core.ServiceVersion) *ServiceVersion {
		return &ServiceVersion{Service: string(v.Service), Version: string(v.Version)}
	})
}

func toServiceVersions(list []*ServiceVersion) []core.ServiceVersion {
	return convertAll(list, func(v *ServiceVersion) core.ServiceVersion {
		return core.ServiceVersion{Service: core.ServiceID(v.GetService()), Version: core.SoftwareVersion(v.GetVersion())}
	})
}

func toVersionAnswer(b *VersionAnswer) core.PeerBody {
	return core.VersionAnswer{
		Stream: core.StreamKey(b.GetStream()), Known: b.GetKnown(),
		Service: core.ServiceID(b.GetService()), Version: core.SoftwareVersion(b.GetVersion()),
	}
}
