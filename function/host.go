//go:build !wasip1

package function

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Environment variable and HTTP headers of the runtime interface.
const (
	envRuntime        = "LUPINPOND_RUNTIME"
	headerInvocation  = "Lupin-Invocation"
	headerTimeLeft    = "Lupin-Left-Ms"
	headerCompileTime = "Lupin-Compiled-Us"
)

// errReplicaStopping reports that the replica must exit. It stops the goroutines of ServeCompiled and is not returned.
var errReplicaStopping = errors.New("replica is stopping")

// Main takes requests from the runtime interface and runs them with the handler, one at a time. It returns when the
// worker or a signal (SIGTERM, SIGINT) tells the replica to exit. On an error it exits the process with status 1.
func Main() { MainConcurrent(1) }

// MainConcurrent is like Main, but runs up to concurrency requests at a time, each in its own goroutine. The handler
// must be safe for concurrent use.
func MainConcurrent(concurrency int) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := ServeConcurrent(ctx, concurrency, handler); err != nil {
		fmt.Fprintln(os.Stderr, "function:", err)
		stop()
		os.Exit(1)
	}
}

// MainLanes is the former name of MainConcurrent.
//
// Deprecated: use MainConcurrent.
func MainLanes(concurrency int) { MainConcurrent(concurrency) }

// ServeConcurrent takes requests from the runtime interface and runs them with handle, up to concurrency at a time,
// until ctx ends or the worker tells the replica to exit. It returns an error if the environment variable
// LUPINPOND_RUNTIME, which holds the address of the runtime interface, is not set, if handle is nil, or if polling for
// a request or posting a result fails.
func ServeConcurrent(ctx context.Context, concurrency int, handle Handler) error {
	return ServeCompiled(ctx, concurrency, 0, handle)
}

// ServeLanes is the former name of ServeConcurrent.
//
// Deprecated: use ServeConcurrent.
func ServeLanes(ctx context.Context, concurrency int, handle Handler) error {
	return ServeConcurrent(ctx, concurrency, handle)
}

// ServeCompiled is like ServeConcurrent, for a replica that compiled its code at its start: each poll for a request
// reports the compile time to the worker. A compile time of 0 is not reported.
func ServeCompiled(ctx context.Context, concurrency int, compileTime time.Duration, handle Handler) error {
	base := os.Getenv(envRuntime)
	if base == "" || handle == nil {
		return errors.New("no " + envRuntime + " in the environment, or no handler set")
	}
	httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrency + 1}}
	defer httpClient.CloseIdleConnections()
	client := &runtimeClient{http: httpClient, base: base, compileTime: compileTime}
	group, ctx := errgroup.WithContext(ctx)
	for range max(1, concurrency) {
		group.Go(func() error {
			for ctx.Err() == nil {
				if err := client.serveOne(ctx, handle); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil && !errors.Is(err, errReplicaStopping) && ctx.Err() == nil {
		return err
	}
	return nil
}

// runtimeClient is the client of the runtime interface.
type runtimeClient struct {
	http        *http.Client
	base        string        // base URL of the runtime interface, with the replica's token
	compileTime time.Duration // time that compiling the code took; 0: unknown
}

// invocation is a request that a poll of the runtime interface returned.
type invocation struct {
	id       string
	input    []byte
	timeLeft time.Duration
}

// errNoInvocation reports that the request of a poll ended before it was returned; the caller polls again.
var errNoInvocation = errors.New("request is over")

// serveOne polls for one request, runs it and posts its result. It returns errReplicaStopping if the replica must exit.
func (c *runtimeClient) serveOne(ctx context.Context, handle Handler) error {
	next, err := c.poll(ctx)
	if errors.Is(err, errNoInvocation) {
		return nil
	}
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, next.timeLeft)
	output, failure := handle(callCtx, next.input)
	cancel()
	// the result is posted even if the replica was told to exit during the call
	return c.postResult(context.WithoutCancel(ctx), next.id, output, failure)
}

// poll waits until the runtime interface returns a request.
func (c *runtimeClient) poll(ctx context.Context) (invocation, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/next", nil)
	if err != nil {
		return invocation{}, err
	}
	if c.compileTime > 0 {
		request.Header.Set(headerCompileTime, strconv.FormatInt(c.compileTime.Microseconds(), 10))
	}
	response, err := c.http.Do(request)
	if err != nil {
		if ctx.Err() != nil {
			return invocation{}, errReplicaStopping
		}
		return invocation{}, fmt.Errorf("poll request: %w", err)
	}
	input, err := io.ReadAll(response.Body)
	response.Body.Close()
	switch {
	case response.StatusCode == http.StatusGone:
		return invocation{}, errReplicaStopping
	case response.StatusCode == http.StatusConflict:
		return invocation{}, errNoInvocation
	case response.StatusCode != http.StatusOK:
		return invocation{}, fmt.Errorf("poll request: status %s", response.Status)
	case err != nil:
		return invocation{}, fmt.Errorf("poll request: status %s: %w", response.Status, err)
	}
	millis, err := strconv.ParseInt(response.Header.Get(headerTimeLeft), 10, 64)
	if err != nil {
		return invocation{}, fmt.Errorf("poll request: %s: %w", headerTimeLeft, err)
	}
	return invocation{
		id:       response.Header.Get(headerInvocation),
		input:    input,
		timeLeft: time.Duration(millis) * time.Millisecond,
	}, nil
}

// postResult posts the output of a request, or the reason of its failure if failure isn't nil.
func (c *runtimeClient) postResult(ctx context.Context, id string, output []byte, failure error) error {
	path, body := "/response", output
	if failure != nil {
		path, body = "/error", []byte(failure.Error())
	}
	url := c.base + "/invocations/" + id + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.GetBody = nil // keeps net/http from sending the request a second time
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("post result: %w", err)
	}
	response.Body.Close()
	return nil
}
