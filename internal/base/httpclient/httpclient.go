// Package httpclient asks the project's own HTTP interfaces: a request with a body, an answer within bounds, a refusal with its
// reason and the time to come back.
package httpclient

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	maxReasonBytes = 1024 // bytes of a refusal's reason
	maxRetryAfter  = time.Hour
)

// StatusError is an answer other than the one asked for.
type StatusError struct {
	StatusCode int
	RetryAfter time.Duration // when to come back, in whole seconds; 0: not told
	Reason     string
}

func (r *StatusError) Error() string {
	return fmt.Sprintf("%d %s: %s", r.StatusCode, http.StatusText(r.StatusCode), r.Reason)
}

// Do sends a request once and answers the body, of at most most bytes. An answer of status 300 and above is a *Refused; a
// longer one, and none, are other errors.
func Do(ctx context.Context, client *http.Client, method, url string, body []byte, most int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= 300 {
		after, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // none of our interfaces names a date
		return nil, &StatusError{resp.StatusCode, min(max(0, time.Duration(after)*time.Second), maxRetryAfter),
			string(bytes.TrimSpace(b[:min(len(b), maxReasonBytes)]))}
	}
	if int64(len(b)) > most {
		return nil, fmt.Errorf("%s answered more than %d bytes", url, most)
	}
	return b, nil
}
