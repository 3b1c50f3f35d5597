package upstream

import (
	"slices"
	"time"
)

// lateCopyTime is how long after a response a second copy of it is expected at the latest. A
// longer time would need more connections: each node makes several calls to an engine in a second
// at a peak.
const lateCopyTime = time.Second

// carriedSeries is the series of a response that a connection has carried.
type carriedSeries struct {
	series string
	at     time.Time
}

// recordSeries records the series of a response that has been received.
func (cn *conn) recordSeries(series string) {
	cn.carried = slices.DeleteFunc(cn.carried, func(c carriedSeries) bool { return time.Since(c.at) >= lateCopyTime })
	if series != "" {
		cn.carried = append(cn.carried, carriedSeries{series: series, at: time.Now()})
	}
}

// hasCarried reports whether a response of a series was received lately.
func (cn *conn) hasCarried(series string) bool {
	return series != "" && slices.ContainsFunc(cn.carried, func(c carriedSeries) bool {
		return c.series == series && time.Since(c.at) < lateCopyTime
	})
}
