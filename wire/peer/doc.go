// Package peer implements the protocol between daisyshed nodes: length-delimited
// protobuf envelopes on one yamux stream per direction.
//
// Functions whose names begin with "from" convert types of core to protobuf
// messages; those whose names begin with "to" convert them back.
package peer

//go:generate sh -c "protoc --go_out=. --go_opt=paths=source_relative peer.proto && sha256sum <peer.proto | cut -d' ' -f1 >peer.proto.sha256"
