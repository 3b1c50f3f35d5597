// Package usagecap bounds what a tenant uses at all nodes of a deployment together.
//
// Each node has an equal part of the cap. It leaves its part to one node, the allocator, for short
// spans of time that do not overlap. The allocator collects what accrues in these spans and grants
// amounts to the nodes that place requests. An amount accrues once, is granted once and is used once
// or lost, so that the sum over all nodes is bounded whoever reaches whom, however late a message
// comes, and whichever nodes take themselves for the allocator.
package usagecap

import "time"

const (
	// marginParts is the number of equal parts of the margin between a cap and its bound. One allows
	// for nodes that are away, one for a small burst, one for the own parts of nodes. The last is for
	// the time between the admission of a request and its arrival at an upstream.
	marginParts = 4
	// minStock is the time for which the cap must be in stock at least, so that the nodes that place
	// requests do not run out between two grants.
	minStock = time.Second
	// ownShare is the share of the margin that the own parts of all nodes contain. In a window, a
	// quarter of it accrues in addition.
	ownShare = 1.0 / (marginParts + 1)
	// ownRefillWindows is the number of windows in which an own part accrues.
	ownRefillWindows = 4
	// floorTime is the time for whose usage a node that places the requests of others holds amounts of
	// each tenant, and floorParts the number of such nodes for which the stock suffices at least.
	floorTime     = 250 * time.Millisecond
	floorParts    = 4
	floorRequests = 2
	// sparseParts is such that an allocator with at most one in sparseParts of the nodes is sparse.
	sparseParts = 8
	// sparseTime is the share of the window whose income a sparse allocator may keep in stock.
	sparseTime = 0.5
)

// Terms are the cap of a tenant, its bound and the number of nodes that share it.
type Terms struct {
	// Rate and Burst are the cap: Rate units a second and a burst of Burst units.
	Rate, Burst float64
	// In any Window, all nodes together may admit the share Over more than the cap, and Slack units.
	Window time.Duration
	Over   float64
	Slack  float64
	// Nodes is the highest number of nodes known, or zero if it is not known.
	Nodes int
}

// Bound returns what all nodes together may admit in any window, in units.
func (t Terms) Bound() float64 { return t.perWindow()*(1+t.Over) + t.Slack }

// Depth returns what all allocators and the nodes to which they have granted amounts may have in stock
// together, in units.
func (t Terms) Depth() float64 {
	return t.Burst + max(min(t.Rate*minStock.Seconds()-t.Burst, t.margin()/marginParts), 0)
}

// Floor returns the rate for which a node that places the requests of others is to hold amounts before
// there is demand, in units a second. They suffice for two requests of the given size.
func (t Terms) Floor(request float64) float64 {
	floor := min(t.Rate*floorTime.Seconds(), t.Depth()/floorParts)
	return max(floor, min(floorRequests*request, t.Depth()/2)) / horizon.Seconds()
}

// perWindow returns what the cap allows in one window, in units.
func (t Terms) perWindow() float64 { return t.Rate*t.Window.Seconds() + t.Burst }

// margin returns by how much the bound exceeds the cap, in units.
func (t Terms) margin() float64 { return t.Bound() - t.perWindow() }

// part returns the part of the cap that one node has, in units a second. All parts together exceed the
// rate a little, so that the rate is available while a few nodes are away.
func (t Terms) part() float64 {
	return t.share(t.Rate * (1 + t.Over/marginParts))
}

// ownDepth returns what a node may use without a grant, in units, and ownRate how fast that accrues,
// in units a second.
func (t Terms) ownDepth() float64 { return t.share(t.margin() * ownShare) }

func (t Terms) ownRate() float64 {
	if t.Window <= 0 {
		return 0
	}
	return t.ownDepth() / (ownRefillWindows * t.Window.Seconds())
}

// share returns the share of one node in a value of all nodes. While their number is not known, it is
// nothing.
func (t Terms) share(v float64) float64 {
	if t.Nodes <= 0 {
		return 0
	}
	return v / float64(t.Nodes)
}
