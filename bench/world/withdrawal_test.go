package world_test

import (
	"testing"
	"time"

	"daisyshed.dev/bench/world"
	"daisyshed.dev/core"
	"daisyshed.dev/standin/fault"
	"github.com/matryer/is"
)

const (
	withdrawnAt    = 20 * time.Second
	returnWithin   = 6 * time.Second
	placementGrace = 3 * time.Second
)

// newLendingWorld returns a world with a borrowed pool of decode engines beside
// the pool of the profile's own team.
func newLendingWorld(seed uint64) *world.World {
	w := newWorld(seed, 6, 4, 5)
	addEngines(w, "lent-decode", core.Decode, 3)
	lent := &w.Pools[len(w.Pools)-1]
	lent.Borrowed = true
	lent.ReturnBy = returnWithin
	w.Profiles[0].DecodePools = append(w.Profiles[0].DecodePools, "lent-decode")
	w.Profiles[0].BorrowedShare = 1
	return w
}

func isLent(w *world.World, id core.EngineID) bool { return w.PoolOf(id) == "lent-decode" }

// withdrawals are the three ways in which a team withdraws its engines.
var withdrawals = map[string]func(w *world.World){
	"published revision": func(w *world.World) {
		pool := w.Pools[len(w.Pools)-1]
		pool.Withdrawn = true
		w.Publish(core.PoolPublished{Publication: "back", Operator: "team", Base: 1, Pool: pool})
	},
	"engines' state": func(w *world.World) {
		for _, e := range w.Engines {
			if isLent(w, e.Upstream.ID) {
				w.Inject(e.Upstream.ID, fault.Fault{Kind: fault.Drain, On: true})
			}
		}
	},
	"VM list": func(w *world.World) {
		for _, e := range w.Engines {
			if isLent(w, e.Upstream.ID) {
				w.MarkVMLeaving(e.Upstream)
			}
		}
	},
}

// Guards against requests on borrowed engines that outlast a withdrawal: streams
// must move to other engines without errors, no request may be placed after
// placementGrace, and no memory may be held at the deadline for the return.
func TestBorrowedEnginesAreReturnedCleanAndOnTime(t *testing.T) {
	for name, withdraw := range withdrawals {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newLendingWorld(5)
			used, moved, late := 0, 0, 0
			w.ObserveDecision = func(d core.Decision) {
				if d.Step == "move" {
					moved++
				}
				if (d.Step != "place" && d.Step != "move") || !isLent(w, d.Decode) {
					return
				}
				used++
				if w.Now.Sub(world.Start) > withdrawnAt+placementGrace {
					late++
				}
			}
			w.Open()
			callers := load(w, 15, 8*time.Second, 40*time.Second)
			for _, c := range callers {
				c.Output = 250
			}
			w.After(withdrawnAt, func() { withdraw(w) })
			w.Run(withdrawnAt + returnWithin + placementGrace)
			for _, e := range w.Engines {
				if isLent(w, e.Upstream.ID) {
					is.Equal(len(w.Held(e.Upstream.ID)), 0) // no memory is held at the deadline
				}
			}
			w.Run(2 * time.Minute)
			s := summarise(callers)
			t.Logf("%+v of %d, %d on borrowed engines, %d moved", s, len(callers), used, moved)
			is.True(used > 0)
			is.True(moved > 0)
			is.Equal(late, 0)
			is.Equal(s.faulty, 0)
			is.Equal(len(w.Violations), 0)
		})
	}
}
