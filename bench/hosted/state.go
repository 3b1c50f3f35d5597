package hosted

import (
	"time"

	"daisyshed.dev/standin/hostedsite"
	"daisyshed.dev/standin/metastore"
)

const (
	// The bounds of the routes' timeout. It stays above most callers' patience, so that a
	// change of it excuses nothing. Callers with longPatience wait for longer than that.
	minRouteTimeout = 4500 * time.Millisecond
	maxRouteTimeout = 5500 * time.Millisecond
	// initialCanaryShare is the initial share of requests that go to the canary service.
	initialCanaryShare = 0.3
	// maxStateChanges bounds the changes of the desired state in quick succession, and
	// maxStateGap the pauses between them.
	maxStateChanges = 6
	maxStateGap     = 100 * time.Millisecond
)

// publishState writes the next version of the desired state, which differs from the
// initial one as state says.
func (d *deployment) publishState(state hostedsite.State) {
	d.version++
	state.Version, state.Host, state.Added = d.version, host, d.addedRoutes
	tenants, confirmed := d.keys.next()
	state.Tenants = tenants
	raw, err := state.Encode()
	if err != nil {
		d.judge.reportViolation("the desired state did not encode: " + err.Error())
		return
	}
	d.store.Put(metastore.OperatorTopic, metastore.StateKey, raw)
	confirmed()
	d.published.Store(int64(d.version))
	if d.upstreamsOnly {
		go d.checkInForce(d.version)
	}
}

// changeState changes the routes, their timeout and the weights of the plain services.
func (d *deployment) changeState() {
	d.publishState(hostedsite.State{
		Extra: d.rng.IntN(2) == 0, Timeout: minRouteTimeout + time.Duration(d.rng.Int64N(int64(maxRouteTimeout-minRouteTimeout))),
		CanaryShare: d.rng.Float64(),
	})
}

// changeStateInSeries changes the desired state several times in quick succession.
func (d *deployment) changeStateInSeries() {
	for range 2 + d.rng.IntN(maxStateChanges-1) {
		d.changeState()
		time.Sleep(time.Duration(d.rng.Int64N(int64(maxStateGap))))
	}
}
