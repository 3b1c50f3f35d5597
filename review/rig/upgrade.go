package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

func init() { cases["upgrade"] = upgrade }

const (
	engines = 12
	// prefillEngines is how many of the engines read prompts at first.
	prefillEngines = 4
	// upgradeTime is until when, after the start, engines crash.
	upgradeTime = 95 * time.Second
	// engineDown is how long an engine is down, and crashGap the time from its return to the
	// crash of the other one.
	engineDown = 200 * time.Millisecond
	crashGap   = 100 * time.Millisecond
)

// upgrade has engines crash and start again under their ids at the next version of their
// software. The streams of a second engine that crashes go on elsewhere meanwhile.
func upgrade(g *rig) (bool, error) {
	const service = "scribe"
	const state = `{"Version":1,"Routes":[` +
		`{"Name":"r-bill","Host":"%s","PathPrefix":"/bill/","Kind":"streaming","TimeoutMs":14000,"SloMs":900,"Priority":1,"Service":"%s","MaxAttempts":2,"Sticky":true,"Resumable":true,"GapSloMs":300}],` +
		`"Services":[{"Name":"%s","HealthPath":"/health","MaxConns":500,"Protocol":"h1","Tls":false,"Engine":{"Slots":96,"KvCapacity":38041,"TokenKvBytes":18432,"LinkMbps":230000.0,"Stride":12,"HandleTtlS":0.5,"SwitchS":6.0,"PinMs":4000.0,"HoldMs":2000.0,"Models":[{"Name":"m"}]}}],` +
		`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`
	g.store.put(topicOperator, "config", fmt.Appendf(nil, state, host, service, service))
	var list []*engine
	for i := range engines {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), service: service, zone: string(rune('a' + i%3)), stage: "decode", store: g.store, onRun: g.addRun}
		if i < prefillEngines {
			e.stage = "prefill"
		}
		if err := e.start("127.0.0.1", "v1"); err != nil {
			return false, err
		}
		list = append(list, e)
	}
	if err := g.startNodes(3); err != nil {
		return false, err
	}
	g.note("three nodes are ready")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	mixed := &mixes{byAttempt: map[string][]string{}}
	go g.sendStreams(ctx, 8, mixed)
	time.Sleep(2 * contactTime)
	version := map[*engine]int{}
	for _, e := range list {
		version[e] = 1
	}
	for time.Since(g.began) < upgradeTime {
		if !g.trouble {
			time.Sleep(time.Second)
			continue
		}
		idle, busy := chooseEngines(list, version)
		if idle == nil {
			continue
		}
		idle.crash()
		g.note("%s of v%d crashes", idle.id, version[idle])
		time.Sleep(engineDown)
		version[idle]++
		if err := idle.start("", fmt.Sprintf("v%d", version[idle])); err != nil {
			return false, err
		}
		g.note("%s has started again under its id, at v%d, and has checked in", idle.id, version[idle])
		time.Sleep(crashGap)
		_, running := busy.load()
		busy.crash()
		g.note("%s of v%d crashes, it runs %d streams", busy.id, version[busy], running)
		time.Sleep(engineDown)
		if err := busy.start("", fmt.Sprintf("v%d", version[busy])); err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second)
	}
	cancel()
	g.clients.wait.Wait()
	return mixed.judge(g), nil
}

// chooseEngines waits until one decode engine of a version alone is idle while another of that
// version runs at least two streams, and returns both; nil if that does not happen in time.
func chooseEngines(list []*engine, version map[*engine]int) (idle, busy *engine) {
	for until := time.Now().Add(4 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		idles, most := map[int][]*engine{}, map[int]*engine{}
		load := map[*engine]int{}
		for _, e := range list {
			stage, running := e.load()
			if stage != "decode" {
				continue
			}
			v := version[e]
			load[e] = running
			if running == 0 {
				idles[v] = append(idles[v], e)
			}
			if running > 1 && (most[v] == nil || running > load[most[v]]) {
				most[v] = e
			}
		}
		for v, list := range idles {
			if len(list) == 1 && most[v] != nil {
				return list[0], most[v]
			}
		}
	}
	return nil, nil
}

// sendStreams sends requests for streams at the given rate until ctx ends.
func (g *rig) sendStreams(ctx context.Context, perSecond float64, m *mixes) {
	var named []*node
	var resolved time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
		}
		if time.Since(resolved) > 2*time.Second {
			if list := g.clients.resolve(); list != nil {
				named, resolved = list, time.Now()
			}
		}
		if len(named) == 0 {
			continue
		}
		n := named[rand.IntN(len(named))]
		g.clients.wait.Add(1)
		go func() {
			defer g.clients.wait.Done()
			g.clients.stream(n, m)
		}()
	}
}

// stream sends one request for a stream and records its events.
func (c *clients) stream(n *node, m *mixes) {
	const patience = 14 * time.Second
	a := c.begin(n, "bill")
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.address(portFront)+"/bill/"+a.id, strings.NewReader(strings.Repeat("x", 3000)))
	if err != nil {
		c.end(a, 0, err.Error())
		return
	}
	r.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": a.id, "Deadline-Ms": "14000", "Model-Id": "m", "Token-Count": "3000,240", "Length-Hint": "240",
		"Prompt-Prefix": "5c1e07a2:200," + a.id[1:] + ":2800",
	} {
		r.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		c.end(a, 0, err.Error())
		return
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			m.add(a.id, data)
		}
	}
	failure := ""
	if lines.Err() != nil {
		failure = lines.Err().Error()
	}
	c.end(a, response.StatusCode, failure)
}
