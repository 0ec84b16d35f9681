package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"lupinpond/internal/base/httpclient"
	"lupinpond/internal/worker"
)

// maxControlResponse is the maximum size in bytes of a response of a worker's control interface.
const maxControlResponse = 4096

// injectFaultCmd injects a fault into a worker through its control interface.
type injectFaultCmd struct {
	Fault string `arg:"" name:"what" help:"Fault: hang, silence, slow, refuse, errors, fail-loads or false-reports."`

	Control string        `required:"" help:"The worker's control address, such as http://127.0.0.1:8720."`
	For     time.Duration `required:"" help:"Duration of the fault."`
	At      time.Duration `help:"Time from now until the fault begins."`
	Tenant  string        `help:"For refuse: the tenant whose requests are rejected."`
	Factor  float64       `help:"For slow: multiplies run times; for false-reports: the reported queue depth."`
}

// Run sends the fault to the worker.
func (c *injectFaultCmd) Run(ctx context.Context, _ *slog.Logger) error {
	body, err := json.Marshal(worker.FaultRequest{
		Fault:    c.Fault,
		Tenant:   c.Tenant,
		Factor:   c.Factor,
		Delay:    c.At.String(),
		Duration: c.For.String(),
	})
	if err != nil {
		return err
	}
	target := c.Control + "/v1/trouble"
	if _, err := httpclient.Do(ctx, http.DefaultClient, http.MethodPost, target, body, maxControlResponse); err != nil {
		return fmt.Errorf("inject fault: %w", err)
	}
	return nil
}
