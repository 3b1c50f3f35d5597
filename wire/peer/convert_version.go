package peer

import "daisyshed.dev/core"

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
		Streams: convertAll(b.Streams, func(k core.StreamKey) uint64 { return uint64(k) }), Corrects: b.Corrects,
	}
}

func toStreamsBegun(b *StreamsBegun) core.PeerBody {
	return core.StreamsBegun{
		Service: core.ServiceID(b.GetService()), Version: core.SoftwareVersion(b.GetVersion()),
		Streams: convertAll(b.GetStreams(), func(k uint64) core.StreamKey { return core.StreamKey(k) }), Corrects: b.GetCorrects(),
	}
}

func toVersionAnswer(b *VersionAnswer) core.PeerBody {
	return core.VersionAnswer{
		Stream: core.StreamKey(b.GetStream()), Known: b.GetKnown(),
		Service: core.ServiceID(b.GetService()), Version: core.SoftwareVersion(b.GetVersion()),
	}
}
