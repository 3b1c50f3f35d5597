package capacity

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"daisyshed.dev/core"
)

const (
	servicePool core.PoolID    = "ledger"
	payProfile  core.ProfileID = "pay-post"
	// paymentBytes is the size of a call's body.
	paymentBytes = 256
	// onceWindow is the period over which calls are measured.
	onceWindow = 20 * time.Second
	// onceWarmUp is the time in which the nodes discover each other.
	onceWarmUp = 15 * time.Second
)

// Once measures calls with an idempotency key, which must not run twice.
func Once(seed uint64, emit func(Row)) {
	r := Report{part: "once", emit: emit}
	measureKeyRecords(r)
	for _, rate := range []float64{1, 10, 100, 500} {
		measureCalls(r, seed, 8, 1, rate)
	}
	for _, rate := range []float64{10, 100} {
		measureCalls(r, seed, TargetNodes, TargetRegions, rate)
	}
}

// measureCalls measures a fleet under a call rate that is the total over all
// nodes.
func measureCalls(r Report, seed uint64, nodes, regions int, rate float64) {
	c := fmt.Sprintf("%s, %.4g calls/s", caseName(nodes, regions), rate)
	f := &Fleet{Seed: seed, Size: nodes, Regions: regions}
	for i := range regions {
		f.Upstreams = append(f.Upstreams, core.Upstream{
			ID: core.EngineID(fmt.Sprintf("ledger-%d", i)), Pool: servicePool,
			Region: core.RegionID(fmt.Sprintf("region-%d", i)),
		})
	}
	f.Roles = map[core.PoolID]core.Role{servicePool: core.Plain}
	f.Open()
	f.Publish(core.PoolPublished{Publication: "pool", Pool: core.Pool{ID: servicePool, Role: core.Plain}})
	f.Publish(core.ProfilePublished{Publication: "profile", Profile: core.Profile{
		ID: payProfile, Kind: core.Service, ServicePools: []core.PoolID{servicePool},
	}})
	f.Run(onceWarmUp)
	f.Reset()
	count := f.scheduleCalls(rate, onceWindow)
	f.Run(onceWindow)
	f.reportCalls(r, c, count)
}

// measureKeyRecords measures the memory and processor time that a writer spends
// on each idempotency key, and how many keys fit into the memory budget. Keys
// are kept for the log's retention of one day.
func measureKeyRecords(r Report) {
	const keys, batch = 50_000, 500
	f := &Fleet{Seed: 1, Size: 1, Regions: 1}
	f.Open()
	f.Run(time.Second)
	n := f.nodes[f.infos[0].ID]
	before := heap()
	var took time.Duration
	for i := 0; i < keys; i += batch {
		took += n.receiveTimed(keyRecords(i, batch))
	}
	each := float64(heap()-before) / keys
	runtime.KeepAlive(n)
	r.add("one writer", "memory per key", each, "B")
	r.add("one writer", "keys that the memory budget holds", BudgetMemory/each, "")
	r.add("one writer", "calls per second that fill it within the retention", BudgetMemory/each/retention.Seconds(), "1/s")
	r.add("one writer", "processor time to fold a key", took.Seconds()/keys*1e6, "µs")
}

// keyRecords returns a read of the key stream with the intents and results of
// another writer.
func keyRecords(first, count int) core.LogRead {
	m := core.LogRead{Stream: core.KeyStream, After: core.Offset(2 * first), First: 1, Now: 1, Retention: retention}
	for i := first; i < first+count; i++ {
		key := core.IdempotencyKey(fmt.Sprintf("018f7d2e-0000-7000-8000-%012d", i))
		m.Records = append(
			m.Records,
			core.LogRecord{Offset: core.Offset(2*i + 1), At: 1, Record: core.KeyIntent{Key: key, Profile: payProfile, Writer: "entry-001"}},
			core.LogRecord{Offset: core.Offset(2*i + 2), At: 1, Record: core.KeyResult{Key: key, Writer: "entry-001", Status: 200, Body: make([]byte, answerBytes)}},
		)
	}
	m.End = core.Offset(2 * (first + count))
	return m
}

// scheduleCalls schedules calls at random nodes and returns their number.
func (f *Fleet) scheduleCalls(rate float64, d time.Duration) int {
	rng := rand.New(rand.NewPCG(f.Seed, 7))
	count := 0
	for at := time.Duration(0); at < d; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		count++
		m := core.ServiceCall{
			Call: core.CallID(fmt.Sprintf("call-%08d", count)), Profile: payProfile, Customer: "plot-1",
			Key: core.IdempotencyKey(fmt.Sprintf("018f7d2e-0000-7000-8000-%012d", count)), Body: make([]byte, paymentBytes),
		}
		to := f.infos[rng.IntN(len(f.infos))].ID
		f.clock.After(at, func() { f.nodes[to].receive(m) })
	}
	return count
}

func (f *Fleet) reportCalls(r Report, c string, count int) {
	s := onceWindow.Seconds()
	n := float64(len(f.infos))
	appends, records := f.Usage.Kinds[logAppendKind], f.Usage.Kinds[logRecordKind]
	reads := f.Usage.Kinds[logReadKind]
	r.add(c, "calls answered", float64(f.answered)/float64(count)*100, "%")
	r.add(c, "appends to the log", float64(appends.Messages)/s, "1/s")
	r.add(c, "records per append", float64(records.Messages)/float64(max(appends.Messages, 1)), "")
	r.add(c, "bytes of the log per call", float64(records.Bytes)/float64(count), "B")
	r.add(c, "reads of the log by all nodes", float64(reads.Messages)/s, "1/s")
	r.add(c, "bytes of reads by all nodes", float64(reads.Bytes)/s, "B/s")
	r.add(c, "bytes of reads per node, mean", float64(reads.Bytes)/s/n, "B/s")
	r.add(c, "bytes of reads of one writer", float64(records.Bytes)/s, "B/s")
	requests := f.Usage.Requests()
	r.add(c, "bytes between nodes per call", float64(requests.Bytes)/float64(count), "B")
	r.add(c, "processor per node", f.Usage.UpdateTime.Seconds()/n/s*100, "% of a core")
}
