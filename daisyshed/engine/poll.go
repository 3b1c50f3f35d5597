package engine

import (
	"context"
	"net/http"
	"strconv"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// UnknownStateError says that a report names a state or role that the core
// does not know.
type UnknownStateError struct{ State, Role string }

// Error describes the fault.
func (e *UnknownStateError) Error() string {
	return "engine: unknown state " + e.State + " or role " + e.Role
}

// Poll asks an engine for a report of itself.
func (c *Client) Poll(address string, p core.PollEngine) {
	go func() {
		report, err := c.poll(address, p)
		if err != nil {
			c.Send(core.EngineUnreachable{Engine: p.Engine, Reason: err.Error()})
			return
		}
		c.Send(report)
	}()
}

func (c *Client) poll(address string, p core.PollEngine) (core.EngineReport, error) {
	if address == "" {
		return core.EngineReport{}, NoAddressError{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.ControlTimeout)
	defer cancel()
	url := "http://" + address + wire.ReportPath + "?after=" + strconv.FormatUint(p.EventsAfter, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return core.EngineReport{}, err
	}
	resp, err := c.do(req)
	if err != nil {
		return core.EngineReport{}, err
	}
	defer resp.Body.Close()
	var report wire.Report
	if err := decode(resp, &report); err != nil {
		return core.EngineReport{}, err
	}
	return toReport(p.Engine, report)
}

func toReport(id core.EngineID, r wire.Report) (core.EngineReport, error) {
	state, known := states[r.State]
	role, knownRole := roles[r.Role]
	if !known || !knownRole {
		return core.EngineReport{}, &UnknownStateError{State: r.State, Role: r.Role}
	}
	report := core.EngineReport{
		Engine:        id,
		State:         state,
		Role:          role,
		Model:         r.Model,
		Pieces:        r.Pieces,
		FreePieces:    r.FreePieces,
		Queued:        r.Queued,
		Running:       r.Running,
		Fencing:       r.Fencing,
		EventsFrom:    r.EventsFrom,
		EventsThrough: r.EventsThrough,
	}
	for _, h := range r.Held {
		report.Held = append(report.Held, core.Held{
			Allocation: core.Allocation(h.Allocation),
			Tokens:     h.Tokens,
			Emitted:    h.Emitted,
			Finished:   h.Finished,
		})
	}
	for _, e := range r.Events {
		report.Events = append(report.Events, core.CacheEvent(e))
	}
	return report, nil
}

var states = map[string]core.EngineState{
	core.Serving.String():  core.Serving,
	core.Draining.String(): core.Draining,
}

var roles = map[string]core.Role{
	core.Prefill.String(): core.Prefill,
	core.Decode.String():  core.Decode,
	core.Plain.String():   core.Plain,
}
