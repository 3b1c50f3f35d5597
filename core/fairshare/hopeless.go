package fairshare

import "time"

// overtakingCertainty is the part of the arrivals that go before a request which is expected to
// go on. A load peak may end at any moment, and only what is known not to be served is to be
// rejected; see docs/design/FAIR-SHARES.md for other values.
const overtakingCertainty = 0.25

// Room is what a group of upstreams has room for.
type Room struct {
	// Free is how many requests can be placed now, and Rate how many more a second beside the
	// ends of the forecast.
	Free, Rate float64
}

// Rejection is a queued request that cannot be placed in time.
type Rejection struct {
	Index int
	// Ahead is how many requests are placed before it, and Places how many can be placed in the
	// time that it has left.
	Ahead  int
	Places float64
}

// Hopeless returns those of the ordered requests that cannot be placed in the time that they
// have left. They are to be rejected at once.
func (q *Queue) Hopeless(now time.Duration, requests []Request, order []Ordered, room Room) []Rejection {
	var hopeless []Rejection
	ahead := 0
	for _, o := range order {
		r := &requests[o.Index]
		if !r.Prior {
			if places := q.placeable(now, r.Left, q.overtaking(now, r, o.Owed), room); places < float64(ahead+1) {
				hopeless = append(hopeless, Rejection{Index: o.Index, Ahead: ahead, Places: places})
				continue
			}
		}
		ahead++
	}
	return hopeless
}

// overtaking returns the rate of arrivals, per second, that are placed before a request.
func (q *Queue) overtaking(now time.Duration, r *Request, owed bool) float64 {
	switch {
	case owed || !q.ByRank:
		return 0
	case r.Late:
		return overtakingCertainty * q.Demand.All(now)
	default:
		return overtakingCertainty * q.Demand.MoreUrgent(now, r.Rank)
	}
}

// placeable returns how many requests can be placed within a time at most, beside others that
// arrive at a rate.
func (q *Queue) placeable(now, left time.Duration, others float64, room Room) float64 {
	most := room.Free
	for d := forecastStep; d <= left; d += forecastStep {
		most = max(most, room.Free+q.Forecast.Within(now, d)+(room.Rate-others)*d.Seconds())
	}
	return most
}
