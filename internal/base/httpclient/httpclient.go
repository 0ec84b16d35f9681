// Package httpclient calls the project's own HTTP APIs: a request with a body, an answer within bounds, an error status
// with its reason and Retry-After.
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
	// maxReasonBytes is how much of an error's body is its reason.
	maxReasonBytes = 1024

	// maxRetryAfter bounds what a server may ask for.
	maxRetryAfter = time.Hour
)

// StatusError is an answer with a status of 300 and above.
type StatusError struct {
	StatusCode int
	RetryAfter time.Duration // in whole seconds; 0: none was given
	Reason     string
}

// Error returns the status and the reason.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%d %s: %s", e.StatusCode, http.StatusText(e.StatusCode), e.Reason)
}

// Do sends a request once and returns the body of the answer. An answer of status 300 and above is a *StatusError; one
// of more than maxBytes, and none, are other errors.
func Do(ctx context.Context, client *http.Client, method, url string, body []byte, maxBytes int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, &StatusError{
			StatusCode: resp.StatusCode,
			RetryAfter: retryAfter(resp.Header),
			Reason:     string(bytes.TrimSpace(answer[:min(len(answer), maxReasonBytes)])),
		}
	}
	if int64(len(answer)) > maxBytes {
		return nil, fmt.Errorf("%s answered more than %d bytes", url, maxBytes)
	}
	return answer, nil
}

func retryAfter(header http.Header) time.Duration {
	seconds, _ := strconv.Atoi(header.Get("Retry-After")) // none of our APIs gives a date
	return min(max(0, time.Duration(seconds)*time.Second), maxRetryAfter)
}
