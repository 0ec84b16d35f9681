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

// watchTimeout is how long a watch may be silent before it is ended.
const watchTimeout = 5 * heartbeatInterval

// maxEventBytes bounds one event of a watch.
const maxEventBytes = 8 << 20

// ErrWatchSilent reports that a watch received nothing, not even a heartbeat, for several heartbeat intervals.
var ErrWatchSilent = errors.New("no heartbeat from the registry")

// Watch watches the endpoint list of the registry at base for a gateway and calls handle with every event, until
// the stream is disconnected or ctx ends. It always returns an error.
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

// watch calls alive for every line that it receives, heartbeats included, and handle for every event.
func watch(ctx context.Context, client *http.Client, base, gateway string, alive func(),
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
		alive()
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
