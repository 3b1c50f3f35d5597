package hosted_test

import (
	"testing"

	"daisyshed.dev/bench/hosted"
	"daisyshed.dev/core"
	"daisyshed.dev/platform"
	"github.com/matryer/is"
)

// Probes for a version came several times a second and were all the same request to the nodes.
// Workers that ended under three of them for other reasons had the probes blocked, which the judge
// took for nodes that lack the version.
func TestProbesForAVersionAreDifferentRequests(t *testing.T) {
	is := is.New(t)
	keys := core.Set[core.RequestKey]{}
	for number := range int64(3) {
		r, err := hosted.ProbeRequest("127.0.0.1:80", 4, number)
		is.NoErr(err)
		// A client leaves the target to the connection's writer.
		r.RequestURI = r.URL.RequestURI()
		keys.Add(platform.RequestKey(r, nil))
	}
	is.Equal(len(keys), 3)
}
