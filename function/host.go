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

const (
	envRuntime       = "LUPINPOND_RUNTIME"
	headerInvocation = "Lupin-Invocation"
	headerLeft       = "Lupin-Left-Ms"
	headerCompiled   = "Lupin-Compiled-Us"
)

// Main serves the runtime interface with one lane until the copy is asked to end.
func Main() { MainLanes(1) }

// MainLanes serves it with so many lanes: the handler is called by as many goroutines at a time.
func MainLanes(lanes int) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := ServeLanes(ctx, lanes, handler); err != nil {
		fmt.Fprintln(os.Stderr, "function:", err)
		stop()
		os.Exit(1)
	}
}

// ServeLanes takes events from the runtime interface, on lanes goroutines, until ctx ends or the interface says so.
func ServeLanes(ctx context.Context, lanes int, h Handler) error {
	return ServeCompiled(ctx, lanes, 0, h)
}

// ServeCompiled does the same and tells, with each question for an event, how long the code took to compile in this copy.
func ServeCompiled(ctx context.Context, lanes int, took time.Duration, h Handler) error {
	base := os.Getenv(envRuntime)
	if base == "" || h == nil {
		return errors.New("no " + envRuntime + " in the environment, or no handler")
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: lanes + 1}}
	defer client.CloseIdleConnections()
	g, ctx := errgroup.WithContext(ctx)
	for range max(1, lanes) {
		g.Go(func() error {
			for ctx.Err() == nil {
				more, err := serveOne(ctx, client, base, took, h)
				if err != nil || !more {
					if err == nil {
						err = errReplicaStopping // ends the other lanes
					}
					return err
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil && !errors.Is(err, errReplicaStopping) && ctx.Err() == nil {
		return err
	}
	return nil
}

var errReplicaStopping = errors.New("the copy ends")

// serveOne takes one event and posts its result.
func serveOne(ctx context.Context, client *http.Client, base string, took time.Duration, h Handler) (more bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/next", nil)
	if err != nil {
		return false, err
	}
	if took > 0 {
		req.Header.Set(headerCompiled, strconv.FormatInt(took.Microseconds(), 10))
	}
	resp, err := client.Do(req)
	if err != nil {
		if ctx.Err() != nil {
			return false, nil
		}
		return false, fmt.Errorf("next event: %w", err)
	}
	input, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusGone:
		return false, nil
	case resp.StatusCode == http.StatusConflict: // that event is over
		return true, nil
	case resp.StatusCode != http.StatusOK || err != nil:
		return false, fmt.Errorf("next event: status %s, %w", resp.Status, err)
	}
	left, err := strconv.ParseInt(resp.Header.Get(headerLeft), 10, 64)
	if err != nil {
		return false, fmt.Errorf("next event: %s: %w", headerLeft, err)
	}
	call, stop := context.WithTimeout(ctx, time.Duration(left)*time.Millisecond)
	output, failed := h(call, input)
	stop()
	path, body := "/response", output
	if failed != nil {
		path, body = "/error", []byte(failed.Error())
	}
	// an answer that is begun is given even where the copy is asked to end
	post, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodPost,
		base+"/invocations/"+resp.Header.Get(headerInvocation)+path, bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	post.GetBody = nil // sent once
	answer, err := client.Do(post)
	if err != nil {
		return false, fmt.Errorf("post result: %w", err)
	}
	answer.Body.Close()
	return true, nil
}
