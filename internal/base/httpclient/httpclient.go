// Package httpclient sends requests to the project's own HTTP APIs. It limits the size of response bodies and converts
// error statuses, with their reason and Retry-After, to errors.
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
	// maxReasonBytes is the maximum length of the reason that is taken from the body of an error response.
	maxReasonBytes = 1024

	// maxRetryAfter is the maximum value of a server's Retry-After; longer ones are reduced to it.
	maxRetryAfter = time.Hour
)

// StatusError is the error for a response with a status code of 300 or above.
type StatusError struct {
	StatusCode int
	RetryAfter time.Duration // value of the Retry-After header, in whole seconds; 0 if there is none
	Reason     string        // start of the response body
}

// Error returns the status code, its text and the reason.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%d %s: %s", e.StatusCode, http.StatusText(e.StatusCode), e.Reason)
}

// Do sends a request once, without retries, and returns the response body. A response with a status of 300 or above is
// returned as a *StatusError. A failed request and a body of more than maxBytes are other errors.
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
		return nil, fmt.Errorf("response of %s exceeds %d bytes", url, maxBytes)
	}
	return answer, nil
}

func retryAfter(header http.Header) time.Duration {
	seconds, _ := strconv.Atoi(header.Get("Retry-After")) // our APIs never send an HTTP date
	return min(max(0, time.Duration(seconds)*time.Second), maxRetryAfter)
}
