package scenario_test

import (
	"math"
	"testing"
	"time"

	"daisyshed.dev/bench/scenario"
	"daisyshed.dev/core"
	"github.com/matryer/is"
)

func TestEveryVariantOfBothMixesExists(t *testing.T) {
	is := is.New(t)
	suffixes := []string{
		"", "-capacity", "-overload-1.5", "-overload-3", "-domain-loss", "-withdrawal", "-slow-links",
		"-stale-reports", "-node-churn",
	}
	for _, base := range []string{"prairie-peak", "sarhad-borrowed"} {
		for _, suffix := range suffixes {
			_, err := scenario.Find(base + suffix)
			is.NoErr(err)
		}
	}
	_, err := scenario.Find("nowhere")
	is.Equal(err, scenario.UnknownScenarioError{Name: "nowhere"})
}

func TestPrairieMatchesItsSpecification(t *testing.T) {
	is := is.New(t)
	s, _ := scenario.Find("prairie-peak")
	w := s.World(core.Policy{}, 1)
	is.Equal(len(w.Nodes), 8)
	is.Equal(len(w.Engines), 12)
	domains := map[core.DomainID]int{}
	for _, e := range w.Engines {
		domains[e.Upstream.Domain]++
		is.Equal(e.Settings.Pieces, 20) // room for about twenty requests
	}
	is.Equal(domains, map[core.DomainID]int{"prairie-west-1": 4, "prairie-west-2": 4, "prairie-west-3": 4})
	p, _ := s.Profile("bill-summary")
	is.Equal(p.FirstTokenTarget, 540*time.Millisecond)
	is.Equal(p.PerTokenTarget, 55*time.Millisecond)
}

func TestSarhadBorrowsAThirdOfItsEngines(t *testing.T) {
	is := is.New(t)
	s, _ := scenario.Find("sarhad-borrowed")
	borrowed, all := 0, 0
	for _, set := range s.Engines {
		all += set.Count
		if set.Pool.Borrowed {
			borrowed += set.Count
		}
	}
	is.Equal(all, 18)
	is.Equal(borrowed, 6)
	draft, _ := s.Profile("finding-draft")
	status, _ := s.Profile("status-read")
	is.True(draft.MaxWait > 0)
	is.True(status.Priority > draft.Priority)
}

func TestMixesHaveTheTargetsMeans(t *testing.T) {
	is := is.New(t)
	for _, s := range scenario.All() {
		prompt, output, share := 0.0, 0.0, 0.0
		for _, c := range s.Classes {
			prompt += c.Share * c.Prompt.Mean
			output += c.Share * c.Output.Mean
			share += c.Share
		}
		is.True(math.Abs(share-1) < 1e-9)
		is.True(math.Abs(prompt-1208) < 0.01*1208) // 5,700 GB/s of KV cache over 36,000 requests/s
		is.True(math.Abs(output-275) < 0.01*275)   // 9.9 million tokens/s over 36,000 requests/s
	}
}

func TestArrivalsFollowTheRateAndTheSeed(t *testing.T) {
	is := is.New(t)
	s, _ := scenario.Find("prairie-peak-overload-3")
	const span = 5 * time.Minute
	a := s.Arrivals(1, 0, span)
	b := s.Arrivals(1, 0, span)
	is.Equal(len(a), len(b))
	for i := range a {
		is.Equal(a[i].At, b[i].At)
		is.Equal(a[i].Caller.Request, b[i].Caller.Request)
	}
	want := s.Rate() * span.Seconds()
	is.True(math.Abs(float64(len(a))-want) < 4*math.Sqrt(want))
	is.True(math.Abs(s.Rate()-3*s.Capacity()) < 1e-9)
}

func TestOneCustomerFloods(t *testing.T) {
	is := is.New(t)
	s, _ := scenario.Find("prairie-peak")
	counts := map[core.CustomerID]int{}
	for _, a := range s.Arrivals(1, 0, 10*time.Minute) {
		counts[a.Caller.Request.Customer]++
	}
	flooder := counts[s.Customers.FlooderID()]
	is.True(flooder > 5*counts[s.Customers.ID(s.Customers.Flooder+1)])
	is.True(counts[s.Customers.ID(1)] > 5*counts[s.Customers.ID(30)])
}

func TestFaultsReduceEngineTime(t *testing.T) {
	is := is.New(t)
	base, _ := scenario.Find("prairie-peak")
	full := base.Supply(time.Minute)
	is.Equal(full.Prefill, 240.0)
	is.Equal(full.Decode, 480.0)
	lost, _ := scenario.Find("prairie-peak-domain-loss")
	is.True(lost.Supply(time.Minute).Decode < full.Decode)
	withdrawn, _ := scenario.Find("prairie-peak-withdrawal")
	is.True(math.Abs(withdrawn.Supply(time.Minute).Prefill-(240-40)) < 1e-9) // one engine is gone for two thirds of the window
}
