package capacity

import (
	"fmt"
	"strings"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/peer"
	"daisyshed.dev/wire/platformlog"
)

const (
	// publishEvery is the time between two changes at the target's rate.
	publishEvery = day / TargetChanges
	// changeWindow is the period over which changes are measured.
	changeWindow = 2 * time.Minute
	// inForceBound is the longest wait for a change to take effect on all nodes.
	inForceBound = time.Minute
)

// Configuration measures how configuration changes propagate to all nodes, what
// applying them costs, the size of the snapshot, and the start of a node.
func Configuration(seed uint64, emit func(Row)) {
	r := Report{part: "configuration", emit: emit}
	for _, s := range []struct{ profiles, shares int }{{15, 147}, {100, 22}, {15, TargetCustomers}, {100, TargetCustomers}} {
		measureApply(r, s.profiles, s.shares)
	}
	for _, s := range sizes {
		measureChanges(r, seed, s.nodes, s.regions)
	}
}

// profileOf returns a profile with shares for the given number of customers.
func profileOf(number, shares, edition int) core.Profile {
	p := core.Profile{
		ID: core.ProfileID(fmt.Sprintf("profile-%03d", number)), Model: core.ModelID(fmt.Sprintf("model-%02d", number%TargetModels)),
		PrefillPools: []core.PoolID{prefillPool}, DecodePools: []core.PoolID{decodePool},
		FirstTokenTarget: 540 * time.Millisecond, PerTokenTarget: 55 * time.Millisecond,
		MaxTokens: 1024, DefaultShare: 1, Priority: edition % 100, Shares: make(map[core.CustomerID]float64, shares),
	}
	for i := range shares {
		p.Shares[core.CustomerID(fmt.Sprintf("customer-%04d", (number*shares+i)%TargetCustomers))] = float64(1 + (i+edition)%9)
	}
	return p
}

// publication returns a publication of a profile, with a source text as long as
// its shares are in YAML.
func publication(number, shares, edition int) core.ProfilePublished {
	p := profileOf(number, shares, edition)
	var source strings.Builder
	source.WriteString("Profile: " + string(p.ID) + "\nFirstTokenTarget: 540ms\nPerTokenTarget: 55ms\nShares:\n")
	for i := range shares {
		fmt.Fprintf(&source, "  customer-%04d: %d\n", (number*shares+i)%TargetCustomers, 1+(i+edition)%9)
	}
	return core.ProfilePublished{
		Publication: core.PublicationID(fmt.Sprintf("publication-%03d-%06d", number, edition)),
		Operator:    "operator-1", Base: core.Revision(edition), Profile: p, Source: source.String(),
	}
}

// measureApply measures what applying configuration changes costs on one node,
// and scales it to the target's rate of changes.
func measureApply(r Report, profiles, shares int) {
	c := fmt.Sprintf("%d profiles of %d shares", profiles, shares)
	f := &Fleet{Seed: 1, Size: 1, Regions: 1}
	f.Open()
	f.Run(time.Second)
	n := f.nodes[f.infos[0].ID]
	before := heap()
	for i := range profiles {
		n.receiveTimed(oneRecord(core.Offset(i+1), publication(i, shares, 0)))
	}
	r.add(c, "memory of the configuration", float64(heap()-before), "B")
	const changes = 200
	var took, decoding time.Duration
	size := 0
	for i := range changes {
		p := publication(i%profiles, shares, 1+i/profiles)
		data, _ := platformlog.Encode(p)
		began := time.Now()
		record := platformlog.Decode(data)
		decoding += time.Since(began)
		offset := core.Offset(profiles + i + 1)
		size += entrySize(offset, int64(f.Now()), record)
		took += n.receiveTimed(oneRecord(offset, record))
	}
	each := float64(size) / changes
	r.add(c, "size of a change in the log's answer", each, "B")
	r.add(c, "bytes of changes per node at the target's rate", each*TargetChanges/day.Seconds(), "B/s")
	r.add(c, "processor time to decode a change", decoding.Seconds()/changes*1e6, "µs")
	r.add(c, "processor time to fold a change", took.Seconds()/changes*1e6, "µs")
	r.add(c, "processor per node at the target's rate", (took+decoding).Seconds()/changes*TargetChanges/day.Seconds()*100, "% of a core")
	measureSnapshot(r, c, n)
}

// oneRecord returns a read of the configuration stream that contains one
// record.
func oneRecord(offset core.Offset, record core.Record) core.LogRead {
	return core.LogRead{
		Stream: core.ConfigStream, After: offset - 1, First: 1, End: offset, Now: int64(offset), Retention: retention,
		Records: []core.LogRecord{{Offset: offset, At: int64(offset), Record: record}},
	}
}

// measureSnapshot measures the size of a snapshot and a node's start from it.
func measureSnapshot(r Report, c string, n *node) {
	status := n.queryStatus()
	s := core.SnapshotTaken{Through: status.ConfigOffset, Profiles: status.Profiles, Pools: status.Pools}
	size := entrySize(1, 1, s)
	r.add(c, "size of a snapshot in the log's answer", float64(size), "B")
	r.add(c, "bytes of snapshots per node at one per 1,000 changes", float64(size)*TargetChanges/1000/day.Seconds(), "B/s")
	answer := core.PeerMessage{From: "entry-001", Body: core.ConfigAnswer{Snapshot: core.Some(s), Through: s.Through}}
	data, _ := peer.Encode(answer)
	r.add(c, "size of a snapshot between nodes", float64(len(data)), "B")
	encoded, _ := platformlog.Encode(s)
	began := time.Now()
	record := platformlog.Decode(encoded)
	f := &Fleet{Seed: 1, Size: 1, Regions: 1}
	f.Open()
	f.Run(time.Second)
	fresh := f.nodes[f.infos[0].ID]
	fresh.receive(core.LogRead{
		Stream: core.ConfigStream, First: 900, End: 1000, Now: 1, Retention: retention,
		Records: []core.LogRecord{{Offset: 1000, Record: record}},
	})
	r.add(c, "processor time to start from a snapshot", time.Since(began).Seconds()*1000, "ms")
}

// measureChanges measures how long configuration changes take to be in force on
// all nodes, and what they cost, with a configuration of the target's size.
func measureChanges(r Report, seed uint64, nodes, regions int) {
	const profiles, shares = 15, TargetCustomers / 15
	c := caseName(nodes, regions)
	f := idleFleet(seed, nodes, regions)
	for i := range profiles {
		f.Publish(publication(i, shares, 0))
	}
	f.runUntil(inForceBound, func(n *node) bool { return n.queryStatus().ConfigOffset >= profiles })
	f.Run(window)
	f.Reset()
	f.Run(changeWindow)
	baseline := f.Usage
	f.Reset()
	worst, count, late := time.Duration(0), 0, false
	began := f.Now()
	for f.Now().Sub(began) < changeWindow {
		offset := f.Publish(publication(count%profiles, shares, 1+count/profiles))
		count++
		took, reached := f.runUntil(inForceBound, func(n *node) bool { return n.queryStatus().ConfigOffset >= offset })
		worst = max(worst, took)
		late = late || !reached
		f.Run(max(publishEvery-took, 0))
	}
	over := f.Now().Sub(began).Seconds()
	r.add(c, "changes", float64(count), "")
	r.add(c, "longest time until a change is in force everywhere", worst.Seconds(), "s")
	if late {
		r.add(c, "a change was not in force within the bound", 1, "")
	}
	f.reportPerChange(r, c, baseline, over, count)
	f.measureStart(r, c)
}

// reportPerChange reports what the changes added to the usage of an idle fleet.
func (f *Fleet) reportPerChange(r Report, c string, baseline Usage, over float64, count int) {
	n := float64(len(f.infos))
	share := over / changeWindow.Seconds()
	for _, kind := range []string{"ConfigQuery", "ConfigAnswer", logReadKind} {
		now, was := f.Usage.Kinds[kind], baseline.Kinds[kind]
		r.add(c, kind+" bytes per node and change", (float64(now.Bytes)-float64(was.Bytes)*share)/n/float64(count), "B")
		r.add(c, kind+" bytes per node", float64(now.Bytes)/n/over, "B/s")
	}
	r.add(c, "reads of the log by all nodes", float64(f.Usage.Kinds[logReadKind].Messages)/over, "1/s")
	added := f.Usage.UpdateTime.Seconds() - baseline.UpdateTime.Seconds()*share
	r.add(c, "processor time per node and change", added/n/float64(count)*1e6, "µs")
}

// measureStart measures how long a starting node takes to obtain the
// configuration.
func (f *Fleet) measureStart(r Report, c string) {
	f.kill(0)
	f.Run(window)
	f.restart(0)
	end := core.Offset(len(f.stream(core.ConfigStream).records))
	id := f.infos[0].ID
	took, _ := f.runUntil(inForceBound, func(n *node) bool { return n.info.ID != id || n.queryStatus().ConfigOffset >= end })
	r.add(c, "time until a starting node has the configuration", took.Seconds(), "s")
}
