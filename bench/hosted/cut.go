package hosted

import (
	"net"
	"net/netip"
	"slices"
	"syscall"
)

// cutKind is what a partition between a node and the target of a proxy does to connections.
// New ones always time out.
type cutKind int

const (
	// cutHang keeps open connections from carrying anything until the partition ends.
	cutHang cutKind = iota
	// cutReset resets open connections.
	cutReset
	// cutNew leaves open connections as they are.
	cutNew
	numCutKinds
)

// partition is a partition between the node with a source address and the target of a proxy.
type partition struct {
	source netip.Addr
	kind   cutKind
	ended  chan struct{}
}

// cut begins a partition. The returned function ends it.
func (p *proxy) cut(source netip.Addr, kind cutKind) (heal func()) {
	c := &partition{source: source, kind: kind, ended: make(chan struct{})}
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

// cutOf returns the partition that a new or open connection of a source suffers from; nil if
// there is none.
func (p *proxy) cutOf(source netip.Addr, kind cutKind) *partition {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.cuts {
		if c.source == source && c.kind == kind {
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
// connection. The caller holds p.mu.
func (p *proxy) filterNew() {
	l, ok := p.listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	filter := []syscall.SockFilter{*syscall.LsfStmt(syscall.BPF_LD+syscall.BPF_W+syscall.BPF_ABS, networkHeader+sourceOffset)}
	for i, c := range p.cuts {
		ip := c.source.As4()
		k := int(ip[0])<<24 | int(ip[1])<<16 | int(ip[2])<<8 | int(ip[3])
		filter = append(filter, *syscall.LsfJump(syscall.BPF_JMP+syscall.BPF_JEQ+syscall.BPF_K, k, len(p.cuts)-i, 0))
	}
	const all = 0xffffffff
	filter = append(filter, *syscall.LsfStmt(syscall.BPF_RET+syscall.BPF_K, all), *syscall.LsfStmt(syscall.BPF_RET+syscall.BPF_K, 0))
	// The listener may be closed.
	_ = raw.Control(func(fd uintptr) { _ = syscall.AttachLsf(int(fd), filter) })
}

// source returns the local address of a node's connections.
func (d *deployment) source(index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, nodeNetwork, byte(d.block), byte(index + 1)})
}

// cutOff partitions a node from the store and from all other nodes, while callers and upstreams
// reach it. The returned function ends that.
func (d *deployment) cutOff(index int) (heal func()) {
	end, endHarm := d.judge.beginDisturbance(), d.judge.beginHarm(d.nodeAddress(index, callerPort), nodeCutOff)
	heals := []func(){d.links[index].cut(d.source(index), cutHang)}
	for i := range d.nodes {
		if i != index {
			heals = append(heals, d.peerLinks[index].cut(d.source(i), cutHang), d.peerLinks[i].cut(d.source(index), cutHang))
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
