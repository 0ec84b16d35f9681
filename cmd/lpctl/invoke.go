package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"os"
	"time"

	"lupinpond/internal/gateway/invoke"
)

// invokeCmd sends one request.
type invokeCmd struct {
	Function string        `arg:"" help:"Name of the function."`
	Body     string        `arg:"" optional:"" help:"The request's body; - reads standard input."`
	Gateway  string        `aliases:"front" default:"http://127.0.0.1:8711" help:"Address of a gateway."`
	Wait     time.Duration `help:"How long to wait for the response; 0: the type's max age."`
	ID       string        `help:"The request's ID (ce-id)."`
	Tenant   string        `help:"Who sends."`
	JSON     bool          `help:"The outcome as JSON."`
}

// invokeOutcome is how a request ended, as the JSON output spells it.
type invokeOutcome string

const (
	outcomeCompleted   invokeOutcome = "handled"
	outcomeFailed      invokeOutcome = "dead-lettered"
	outcomeRejected    invokeOutcome = "deferred"
	outcomeNotAccepted invokeOutcome = "not taken"
)

// String is the outcome for people.
func (o invokeOutcome) String() string {
	switch o {
	case outcomeCompleted:
		return "completed"
	case outcomeFailed:
		return "failed"
	case outcomeRejected:
		return "rejected"
	}
	return "not accepted"
}

// outcomeOf reads the outcome from a gateway's response.
func outcomeOf(response *http.Response) invokeOutcome {
	switch {
	case response.StatusCode == http.StatusOK:
		return outcomeCompleted
	case response.StatusCode == http.StatusBadGateway:
		return outcomeFailed
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(invoke.HeaderRequestID) != "":
		return outcomeRejected
	}
	return outcomeNotAccepted
}

// Run sends one request; an outcome other than completed is exitFailed.
func (c *invokeCmd) Run(ctx context.Context, _ *slog.Logger) error {
	request, err := c.request(ctx)
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if err := c.print(response, body, time.Since(start).Round(10*time.Microsecond)); err != nil {
		return err
	}
	if outcomeOf(response) != outcomeCompleted {
		return errFailed
	}
	return nil
}

func (c *invokeCmd) request(ctx context.Context) (*http.Request, error) {
	body := []byte(c.Body)
	if c.Body == "-" {
		var err error
		if body, err = io.ReadAll(os.Stdin); err != nil {
			return nil, err
		}
	}
	target, err := url.JoinPath(c.Gateway, "v1/functions", c.Function, "invocations")
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // sent once, whatever happens
	id := c.ID
	if id == "" {
		id = fmt.Sprintf("lpctl-%d", time.Now().UnixNano())
	}
	request.Header.Set("ce-specversion", "1.0")
	request.Header.Set("ce-source", "lpctl")
	request.Header.Set("ce-id", id)
	if c.Tenant != "" {
		request.Header.Set(invoke.HeaderTenant, c.Tenant)
	}
	if c.Wait > 0 {
		request.Header.Set("Prefer", fmt.Sprintf("wait=%.3f", c.Wait.Seconds()))
	}
	return request, nil
}

func (c *invokeCmd) print(response *http.Response, body []byte, duration time.Duration) error {
	outcome, header := outcomeOf(response), response.Header
	requestID, attempts := header.Get(invoke.HeaderRequestID), header.Get(invoke.HeaderAttempts)
	if c.JSON {
		return printJSON(map[string]any{
			"ending":   string(outcome),
			"status":   response.StatusCode,
			"event":    requestID,
			"launches": attempts,
			"back-ms":  header.Get(invoke.HeaderRetryAfterMillis),
			"took-ms":  duration.Seconds() * 1e3,
			"body":     string(body),
		})
	}
	fmt.Fprintf(os.Stderr, "%v after %v and %s attempts, request %s\n", outcome, duration, attempts, requestID)
	fmt.Printf("%s\n", bytes.TrimSpace(body))
	return nil
}
