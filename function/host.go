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

// Environment and headers of the runtime interface.
const (
	envRuntime        = "LUPINPOND_RUNTIME"
	headerInvocation  = "Lupin-Invocation"
	headerTimeLeft    = "Lupin-Left-Ms"
	headerCompileTime = "Lupin-Compiled-Us"
)

// errReplicaStopping ends the other goroutines once the interface has said that the replica is to exit.
var errReplicaStopping = errors.New("replica is stopping")

// Main serves the runtime interface, one request at a time, until the replica is asked to exit.
func Main() { MainConcurrent(1) }

// MainConcurrent is Main with so many requests at a time: the handler is called by as many goroutines.
func MainConcurrent(concurrency int) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := ServeConcurrent(ctx, concurrency, handler); err != nil {
		fmt.Fprintln(os.Stderr, "function:", err)
		stop()
		os.Exit(1)
	}
}

// MainLanes is the name that MainConcurrent had.
//
// Deprecated: use MainConcurrent.
func MainLanes(concurrency int) { MainConcurrent(concurrency) }

// ServeConcurrent takes requests from the runtime interface, on so many goroutines, until ctx ends or the interface
// says that the replica is to exit.
func ServeConcurrent(ctx context.Context, concurrency int, handle Handler) error {
	return ServeCompiled(ctx, concurrency, 0, handle)
}

// ServeLanes is the name that ServeConcurrent had.
//
// Deprecated: use ServeConcurrent.
func ServeLanes(ctx context.Context, concurrency int, handle Handler) error {
	return ServeConcurrent(ctx, concurrency, handle)
}

// ServeCompiled is ServeConcurrent for code that was compiled in this replica: each poll for a request tells how long
// that took.
func ServeCompiled(ctx context.Context, concurrency int, compileTime time.Duration, handle Handler) error {
	base := os.Getenv(envRuntime)
	if base == "" || handle == nil {
		return errors.New("no " + envRuntime + " in the environment, or no handler")
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

// runtimeClient is a replica's side of the runtime interface.
type runtimeClient struct {
	http        *http.Client
	base        string
	compileTime time.Duration // 0: unknown
}

// invocation is a request as the runtime interface hands it out.
type invocation struct {
	id       string
	input    []byte
	timeLeft time.Duration
}

// errNoInvocation says that a poll brought nothing, and that the next one may.
var errNoInvocation = errors.New("request is over")

// serveOne takes one request and posts its result. errReplicaStopping: there are no more.
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
	// a result is posted even where the replica is asked to exit meanwhile
	return c.postResult(context.WithoutCancel(ctx), next.id, output, failure)
}

// poll waits for a request.
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

// postResult posts a request's output, or why it failed.
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
	request.GetBody = nil // sent once
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("post result: %w", err)
	}
	response.Body.Close()
	return nil
}
