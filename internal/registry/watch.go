package registry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// watchTimeout is the time without an event or heartbeat after which a watch is ended.
const watchTimeout = 5 * heartbeatInterval

// maxEventBytes is the maximum size of an event of a watch.
const maxEventBytes = 8 << 20

// ErrWatchSilent is returned by Watch if it received neither an event nor a heartbeat for several heartbeat intervals.
var ErrWatchSilent = errors.New("no heartbeat from the registry")

// Watch watches the endpoint list of the registry at the URL base on behalf of a gateway. It calls handle with each
// event until the stream ends or ctx is done. The returned error is never nil.
func Watch(ctx context.Context, client *http.Client, base, gateway string, handle func(WatchEvent)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(watchTimeout, func() { cancel(ErrWatchSilent) })
	defer silence.Stop()
	err := watch(ctx, client, base, gateway, func() { silence.Reset(watchTimeout) }, handle)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return fmt.Errorf("watch the list: %w", err)
}

// watch calls onLine for each received line, including heartbeats, and handle for each event.
func watch(ctx context.Context, client *http.Client, base, gateway string, onLine func(),
	handle func(WatchEvent)) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/list", nil)
	if err != nil {
		return err
	}
	query := req.URL.Query()
	query.Set("front", gateway)
	req.URL.RawQuery = query.Encode()
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		onLine()
		if len(lines.Bytes()) == 0 {
			continue
		}
		var event WatchEvent
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return err
		}
		if err := event.Validate(); err != nil {
			return err
		}
		handle(event)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}
