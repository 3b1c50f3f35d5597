package engine

import (
	"context"
	"net/http"
	"strconv"

	"daisyshed.dev/core"
	wire "daisyshed.dev/wire/engine"
)

// Poll asks an engine for its report. It does not block.
func (c *Client) Poll(address string, p core.PollEngine) {
	go func() {
		report, err := c.poll(address, p)
		if err != nil {
			c.SendToCore(core.EngineUnreachable{Engine: p.Engine, Reason: err.Error()})
			return
		}
		c.SendToCore(report)
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
	return report.ToCore(p.Engine)
}
