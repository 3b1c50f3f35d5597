package fairshare_test

import (
	"testing"
	"time"

	"daisyshed.dev/core/fairshare"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const second = time.Second

// newQueue returns a queue with both divisions.
func newQueue() *fairshare.Queue {
	return &fairshare.Queue{Counters: &fairshare.Counters{}, ByTenant: true, ByRank: true}
}

func indexes(order []fairshare.Ordered) []int {
	var list []int
	for _, o := range order {
		list = append(list, o.Index)
	}
	return list
}

// The load peak of one tenant must set back its own requests, and those only, also if the queue
// was empty while it filled the room.
func TestTenantIsSetBackForItsOwnPeak(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	now := 10 * second
	for i := range 100 {
		t := fairshare.Tenant("hot")
		if i%10 == 0 {
			t = "cool"
		}
		at := now + time.Duration(i-100)*10*time.Millisecond
		q.Counters.Arrived(at, t, 1)
		q.Counters.Charge(at, t, 1)
	}
	request := func(t fairshare.Tenant, at time.Duration) fairshare.Request {
		return fairshare.Request{Tenant: t, At: at, Cost: 1, Objective: second}
	}
	waiting := []fairshare.Request{request("hot", now-300*time.Millisecond), request("cool", now-200*time.Millisecond), request("idle", now-160*time.Millisecond)}
	is.Equal(indexes(q.Order(now, waiting, nil)), []int{1, 2, 0})
	is.True(q.Counters.Overuse(now, "hot") > 0.7)
	is.Equal(q.Counters.Overuse(now, "cool"), 0.0)
	// Once others have been served for as long as several load peaks, that is forgiven.
	for i := range 300 {
		q.Counters.Charge(now+time.Duration(i)*100*time.Millisecond, "cool", 1)
	}
	is.True(q.Counters.Overuse(now+30*second, "hot") < 0.01)
}

// A tenant that sends no more than its weight of the load must not count as hot because it is
// large, and an idle one must gather no credit for a peak of its own.
func TestSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	c := &fairshare.Counters{}
	for i := range 1000 {
		now := time.Duration(i) * 10 * time.Millisecond
		c.Arrived(now, "large", 9)
		c.Arrived(now, "small", 1)
		c.Charge(now, "large", 9)
		c.Charge(now, "small", 1)
	}
	is.True(c.Overuse(10*second, "large") < 0.01)
	is.True(c.Overuse(10*second, "small") < 0.01)
	for range 50 {
		c.Arrived(10*second, "idle", 1)
		c.Charge(10*second, "idle", 5)
	}
	is.True(c.Overuse(10*second, "idle") > 0.3)
}

// What a tenant uses at other nodes must count, but not what it used there before this node began
// to count, nor a total that begins again.
func TestUseElsewhereCounts(t *testing.T) {
	is := is.New(t)
	c := &fairshare.Counters{}
	c.Arrived(0, "other", 1)
	c.UsedElsewhere(0, "roams", 1000)
	is.Equal(c.Overuse(0, "roams"), 0.0)
	c.UsedElsewhere(second, "roams", 1010)
	over := c.Overuse(second, "roams")
	is.True(over > 0)
	c.UsedElsewhere(second, "roams", 5)
	is.Equal(c.Overuse(second, "roams"), over)
}

// Late urgent requests must go behind less urgent ones that can be on time, and those that an
// upstream has had before must not count as late.
func TestLateRequestsGoBehindTheNextRank(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	waiting := []fairshare.Request{{Rank: 0, Late: true}, {Rank: 2}, {Rank: 1}, {Rank: 0}, {Rank: 0, Late: true, Prior: true}}
	is.Equal(indexes(q.Order(0, waiting, nil)), []int{3, 4, 2, 0, 1})
	q.ByRank = false
	is.Equal(indexes(q.Order(0, waiting, nil)), []int{3, 0, 4, 2, 1})
}

// While urgent requests alone exceed the capacity, a quarter of the share of all must be kept for
// the least urgent, and for a tenant far beyond its share.
func TestLeastShareIsKept(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	served, arrived := map[int]int{}, map[int]int{}
	hot, hotServed := 0, 0
	var waiting []fairshare.Request
	for i := range 2000 {
		now := time.Duration(i) * 10 * time.Millisecond
		r := fairshare.Request{Tenant: "cool", Rank: i % 10 / 8, At: now, Cost: 1, Objective: second}
		if i%3 == 0 {
			r.Tenant = "hot"
			hot++
		}
		q.Counters.Arrived(now, r.Tenant, map[fairshare.Tenant]float64{"hot": 1, "cool": 50}[r.Tenant])
		q.Demand.Arrived(now, r.Tenant, r.Rank)
		arrived[r.Rank]++
		waiting = append(waiting, r)
		if i%2 == 0 {
			continue
		}
		first := q.Order(now, waiting, nil)[0].Index
		s := waiting[first]
		waiting = append(waiting[:first:first], waiting[first+1:]...)
		if len(waiting) > 30 {
			waiting = waiting[1:]
		}
		q.Counters.Charge(now, s.Tenant, 1)
		q.Demand.Served(now, s.Tenant, s.Rank, 1)
		served[s.Rank]++
		if s.Tenant == "hot" {
			hotServed++
		}
	}
	t.Logf("served %v of %v, hot %d of %d", served, arrived, hotServed, hot)
	const all = 0.5
	is.True(float64(served[1]) >= all/4*float64(arrived[1]))
	is.True(float64(served[1]) < all/2*float64(arrived[1]))
	is.True(float64(hotServed) >= all/4*float64(hot))
}

// A request must be rejected when the places that become free in its time do not reach as far as
// it, with regard to arrivals that go before it, and not otherwise.
func TestHopelessRequestsAreFound(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	now := 5 * second
	ends := make([]time.Duration, 0, 10)
	for i := range 10 {
		ends = append(ends, q.Forecast.Add(now, now+time.Duration(i)*100*time.Millisecond))
	}
	request := func(rank int, left time.Duration) fairshare.Request { return fairshare.Request{Rank: rank, Left: left} }
	waiting := []fairshare.Request{request(0, 90*time.Millisecond), request(0, 90*time.Millisecond), request(1, 290*time.Millisecond), request(1, 290*time.Millisecond), {Rank: 1, Prior: true}}
	hopeless := func() []int {
		var list []int
		for _, r := range q.Hopeless(now, waiting, q.Order(now, waiting, nil), fairshare.Room{}) {
			list = append(list, r.Index)
		}
		return list
	}
	is.Equal(hopeless(), []int{1})
	for range 20 {
		q.Demand.Arrived(now, "", 0)
	}
	is.Equal(hopeless(), []int{1, 2, 3})
	// Those that have not ended in time end soon, and those that are removed do not count.
	is.True(q.Forecast.Within(now+2*second, 2*second) == 10)
	for _, end := range ends {
		q.Forecast.Remove(now+2*second, end)
	}
	is.True(q.Forecast.Within(now+2*second, time.Minute) == 0)
}

// Callers of one tenant must not return together, nor delay those of another tenant or of a more
// urgent rank by more than their share.
func TestReturnsAreSpreadByTenantAndRank(t *testing.T) {
	is := is.New(t)
	var r fairshare.Returns
	assign := func(t fairshare.Tenant, rank int) time.Duration {
		return r.Assign(0, t, rank, 1, 10, second, 10*second)
	}
	is.Equal(assign("hot", 1), second)
	for i := range 20 {
		is.Equal(assign("hot", 1), second+time.Duration(i+1)*100*time.Millisecond)
	}
	is.Equal(assign("cool", 1), second)
	is.Equal(assign("cool", 1), second+200*time.Millisecond)
	is.Equal(assign("hot", 0), second)
	is.Equal(assign("hot", 0), second+100*time.Millisecond)
	for range 200 {
		assign("hot", 1)
	}
	is.Equal(assign("hot", 1), 10*second)
}

// Whatever waits, each request must have one place in the order; and without ranks and tenants
// the order must be that of arrival.
func TestOrderIsAPermutation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		mixed := rapid.Bool().Draw(t, "mixed")
		var waiting []fairshare.Request
		for range rapid.IntRange(0, 30).Draw(t, "waiting") {
			r := fairshare.Request{At: time.Duration(rapid.IntRange(0, 1000).Draw(t, "at")) * time.Millisecond, Cost: 1, Objective: second}
			if mixed {
				r.Rank = rapid.IntRange(-1, 3).Draw(t, "rank")
				r.Tenant = rapid.SampledFrom([]fairshare.Tenant{"", "a", "b"}).Draw(t, "tenant")
				r.Late = rapid.Bool().Draw(t, "late")
			}
			q.Counters.Arrived(second, r.Tenant, 1)
			q.Demand.Arrived(second, r.Tenant, r.Rank)
			if rapid.Bool().Draw(t, "served") {
				q.Counters.Charge(second, r.Tenant, 1)
				q.Demand.Served(second, r.Tenant, r.Rank, 1)
			}
			waiting = append(waiting, r)
		}
		seen := map[int]bool{}
		last := time.Duration(0)
		for _, o := range q.Order(second, waiting, nil) {
			if seen[o.Index] {
				t.Fatalf("request %d has two places", o.Index)
			}
			seen[o.Index] = true
			if at := waiting[o.Index].At; !mixed && at < last {
				t.Fatalf("request %d goes before an earlier one", o.Index)
			}
			last = waiting[o.Index].At
		}
		if len(seen) != len(waiting) {
			t.Fatalf("%d places for %d requests", len(seen), len(waiting))
		}
	})
}
