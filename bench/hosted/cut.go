package hosted

import (
	"net"
	"net/netip"
	"slices"
	"syscall"
)

// cutKind is what a partition between a node and the target of a proxy does to open connections.
// New ones time out, or open if the partition is behind what accepts them.
type cutKind int

const (
	// cutHang keeps open connections from carrying anything until the partition ends.
	cutHang cutKind = iota
	// cutReset resets open connections.
	cutReset
	// cutNew leaves open connections as they are. New ones that open are reset.
	cutNew
	numCutKinds
)

// partition is a partition between the node with a source address and the target of a proxy.
type partition struct {
	source netip.Addr
	kind   cutKind
	// opens says that new connections open, and then hang or are reset.
	opens bool
	ended chan struct{}
}

// cut begins a partition. The returned function ends it.
func (p *proxy) cut(source netip.Addr, kind cutKind, opens bool) (heal func()) {
	c := &partition{source: source, kind: kind, opens: opens, ended: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cuts = append(p.cuts, c)
	p.filterNew()
	if kind == cutReset {
		for conn := range p.open {
			if sourceOf(conn) == source {
				reset(conn)
			}
		}
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.cuts = slices.DeleteFunc(p.cuts, func(other *partition) bool { return other == c })
		p.filterNew()
		close(c.ended)
	}
}

func sourceOf(c net.Conn) netip.Addr {
	a, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr()
}

// cutOf returns the partition of one of some kinds that a connection of a source suffers from; nil
// if there is none.
func (p *proxy) cutOf(source netip.Addr, kinds ...cutKind) *partition {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.cuts {
		if c.source == source && slices.Contains(kinds, c.kind) {
			return c
		}
	}
	return nil
}

// waitWhileCut returns once no partition lets a connection hang.
func (p *proxy) waitWhileCut(connection net.Conn) {
	for source := sourceOf(connection); ; {
		c := p.cutOf(source, cutHang)
		if c == nil {
			return
		}
		<-c.ended
	}
}

// sourceOffset is the offset of the source address in an IPv4 header, and networkHeader the base
// from which a socket filter counts the bytes of that header.
const (
	sourceOffset  = 12
	networkHeader = 0xfff00000
)

// filterNew has the system drop what nodes on the other side of a partition send to open a
// connection. If it cannot, connections open, as they do behind a load balancer. The caller holds
// p.mu.
func (p *proxy) filterNew() {
	l, ok := p.listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := l.SyscallConn()
	if err != nil {
		p.noFilter = err
		return
	}
	var dropped []netip.Addr
	for _, c := range p.cuts {
		if !c.opens {
			dropped = append(dropped, c.source)
		}
	}
	filter := []syscall.SockFilter{*syscall.LsfStmt(syscall.BPF_LD+syscall.BPF_W+syscall.BPF_ABS, networkHeader+sourceOffset)}
	for i, source := range dropped {
		ip := source.As4()
		k := int(ip[0])<<24 | int(ip[1])<<16 | int(ip[2])<<8 | int(ip[3])
		filter = append(filter, *syscall.LsfJump(syscall.BPF_JMP+syscall.BPF_JEQ+syscall.BPF_K, k, len(dropped)-i, 0))
	}
	const all = 0xffffffff
	filter = append(filter, *syscall.LsfStmt(syscall.BPF_RET+syscall.BPF_K, all), *syscall.LsfStmt(syscall.BPF_RET+syscall.BPF_K, 0))
	attach := func(fd uintptr) { p.noFilter = syscall.AttachLsf(int(fd), filter) }
	if err := raw.Control(attach); err != nil {
		// The listener is closed.
		p.noFilter = nil
	}
}

// filterError returns the last error of filterNew; nil if there was none.
func (p *proxy) filterError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.noFilter
}

// source returns the local address of a node's connections.
func (d *deployment) source(index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, nodeNetwork, byte(d.block), byte(index + 1)})
}

// cutOff partitions a node from the store and from all other nodes, while callers and upstreams
// reach it. The returned function ends that.
func (d *deployment) cutOff(index int) (heal func()) {
	end, endHarm := d.judge.beginDisturbance(), d.judge.beginHarm(d.nodeAddress(index, callerPort), nodeCutOff)
	heals := []func(){d.links[index].cut(d.source(index), cutHang, false)}
	for i := range d.nodes {
		if i != index {
			heals = append(heals, d.peerLinks[index].cut(d.source(i), cutHang, false), d.peerLinks[i].cut(d.source(index), cutHang, false))
		}
	}
	return func() {
		for _, h := range heals {
			h()
		}
		endHarm()
		end()
	}
}
