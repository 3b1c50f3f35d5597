package main

import (
	"net"

	"daisyshed.dev/daisyshed/settings"
	"daisyshed.dev/daisyshed/tcp"
)

// listeners are the network listeners of an unhosted daemon.
type listeners struct{ caller, peer, operator net.Listener }

// listen opens all listeners. If one fails, it closes those already open.
func listen(s settings.Settings) (listeners, error) {
	var l listeners
	var err error
	if l.caller, err = tcp.Listen(s.CallerAddress, s.Limits.CallerConnections); err != nil {
		return l, err
	}
	if l.peer, err = tcp.Listen(s.PeerAddress, s.Limits.PeerConnections); err != nil {
		l.close()
		return l, err
	}
	if l.operator, err = tcp.Listen(s.OperatorAddress, s.Limits.OperatorConnections); err != nil {
		l.close()
		return l, err
	}
	return l, nil
}

// close closes the listeners that are open. It may be called more than once.
func (l listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.peer, l.operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
