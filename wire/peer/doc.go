// Package peer is the protocol between daisyshed nodes: protobuf envelopes,
// each preceded by its length, on one yamux stream per direction.
package peer

//go:generate sh -c "protoc --go_out=. --go_opt=paths=source_relative peer.proto && sha256sum <peer.proto | cut -d' ' -f1 >peer.proto.sha256"
