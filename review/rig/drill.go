package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["drill"] = drill }

// The bounds of the settings, and the drill.
const (
	drainDelay  = 2 * time.Second
	contactTime = 3 * time.Second
	// storeAway is how long the store is away in a drill, copyAge how old the copy is from
	// which it returns, and rewriteAfter when what the worker had written is written again.
	storeAway    = 500 * time.Millisecond
	copyAge      = 5 * time.Second
	rewriteAfter = 2 * time.Second
	// drillWorkers is how many workers the service has, and drillLeavers how many of them leave.
	drillWorkers = 20
	drillLeavers = 5
)

// drill has workers leave that never report that they drain, and then the store return from a
// copy in which they are still listed.
func drill(g *rig) (bool, error) {
	const service = "ledger"
	g.publish(1, service)
	var workers []*worker
	for i := range drillWorkers {
		l, err := listen("127.0.0.1")
		if err != nil {
			return false, err
		}
		w := &worker{
			id: fmt.Sprintf("i-%d", i+1), service: service, zone: string(rune('a' + i%3)), slots: 6, work: 30 * time.Millisecond,
			store: g.store, onRun: g.addRun,
		}
		w.start(l)
		workers = append(workers, w)
	}
	leavers := workers[:drillLeavers]
	// removed is the offset of the last leaver's removal in the first era, and told when a
	// node's own read of the store was answered with it.
	removed, told := -1, map[string]time.Time{}
	g.store.onRead = func(node, topic string, end int) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if _, ok := told[node]; !ok && topic == topicWorkers && removed >= 0 && end > removed {
			told[node] = time.Now()
		}
	}
	if err := g.startNodes(3); err != nil {
		return false, err
	}
	g.note("three nodes are ready")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go g.clients.send(ctx, 12)
	time.Sleep(2 * contactTime)

	left, offset := time.Now(), -1
	for _, w := range leavers {
		w.exitInRun = true
		w.exited = func(attempt string) { g.note("%s exits while it runs %s", w.id, attempt) }
		offset = w.leave()
		g.note("%s leaves without having reported draining: the store has confirmed the removal of its entry; it goes on serving", w.id)
	}
	g.mu.Lock()
	removed = offset
	g.mu.Unlock()
	time.Sleep(drainDelay + 500*time.Millisecond)
	if g.trouble {
		g.store.leave()
		g.note("the store goes away")
		time.Sleep(storeAway)
		g.store.comeBack(time.Now().Add(-copyAge))
		g.note("the store is back from a copy that is %v old, in which the leavers are listed", copyAge)
		for _, w := range workers {
			w.checkIn()
		}
		time.Sleep(rewriteAfter)
		for _, w := range leavers {
			w.leave()
		}
		g.note("the removals are written again")
	} else {
		time.Sleep(storeAway + rewriteAfter)
	}
	time.Sleep(2 * time.Second)
	cancel()
	g.clients.wait.Wait()
	for node, at := range told {
		g.note("%s had read the removals from the store at %s", node, g.at(at))
	}
	broken := false
	for _, w := range leavers {
		broken = g.judgeDrain(w.id, left, told) || broken
	}
	return broken, nil
}

// judgeDrain reports whether a worker ran a request that a client had sent later than DrainMs
// after the node that took it had acknowledged that the worker was gone.
func (g *rig) judgeDrain(id string, left time.Time, told map[string]time.Time) bool {
	g.mu.Lock()
	var late, before []run
	for _, r := range g.runs {
		a := g.clients.attempts[r.attempt]
		if r.worker != id || a == nil {
			continue
		}
		acknowledged, ok := told[a.node]
		switch {
		case a.sentAt.Before(left):
			before = append(before, r)
		case ok && a.sentAt.Sub(acknowledged) > drainDelay:
			late = append(late, r)
		}
	}
	g.mu.Unlock()
	g.note("%s ran %d requests before it left", id, len(before))
	for _, r := range late {
		a := g.clients.attempts[r.attempt]
		g.note("BROKEN (DRAIN): %s (%s) was sent to %s at %s, %.1f s after that had acknowledged that %s is gone; %s ran it at %s; its client got %d %s",
			a.id, a.kind, a.node, g.at(a.sentAt), a.sentAt.Sub(told[a.node]).Seconds(), id, id, g.at(r.at), a.status, a.failure)
	}
	return len(late) > 0
}
