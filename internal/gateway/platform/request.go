package platform

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode"

	"lupinpond/internal/gateway/thrift"
	"lupinpond/scheduler"
)

// Limits on a client's request.
const (
	// maxBodyBytes is the maximum size of a body.
	maxBodyBytes = 16 << 10

	// maxHeaderBytes is the maximum size of a message without its body.
	maxHeaderBytes = 4 << 10

	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 128

	// maxAttributeValue is the maximum value of a function attribute, such as its memory.
	maxAttributeValue = 1e9

	// maxConcurrency is the maximum concurrency of a replica.
	maxConcurrency = 1 << 16
)

var (
	errNoFields    = errors.New("fields: missing")
	errInvalidBody = errors.New("body: missing or longer than 16 KiB")
)

// clientRequest is the decoded form of a client's request.
type clientRequest struct {
	scheduled      *scheduler.Request
	numericID      uint64
	idempotencyKey string // lets workers recognise a retry of the request; empty if its type is not keyed
	body           []byte
}

// requestDecoder decodes requests and validates them against the request types and tenants of the settings.
type requestDecoder struct {
	maxAges map[string]time.Duration // maximum age by request type
	keyed   map[string]bool          // request types whose requests have an idempotency key
	tenants map[string]bool
}

// decode decodes the arguments of dispatch. It returns an error if the request can't be passed on to a worker, or if a
// field is invalid, as a worker would then serve something else than the client meant. The text of the error is sent to
// the client.
func (d requestDecoder) decode(args thrift.Args) (clientRequest, error) {
	fields, hasFields := args.StringMaps[1]
	body, hasBody := args.Binaries[2]
	if !hasFields {
		return clientRequest{}, errNoFields
	}
	if !hasBody || len(body) > maxBodyBytes {
		return clientRequest{}, errInvalidBody
	}
	scheduled, numericID, err := d.decodeFields(fields)
	if err != nil {
		return clientRequest{}, err
	}
	key, err := d.decodeKey(scheduled.Type, fields["once"])
	if err != nil {
		return clientRequest{}, err
	}
	return clientRequest{scheduled: scheduled, numericID: numericID, idempotencyKey: key, body: body}, nil
}

// decodeFields decodes the fields of a request that the scheduler needs, and the request's ID as a number.
func (d requestDecoder) decodeFields(fields map[string]string) (
	scheduled *scheduler.Request, numericID uint64, err error) {
	id, class, tenant := fields["id"], fields["class"], fields["tenant"]
	if numericID, err = parseHexID(id); err != nil {
		return nil, 0, fmt.Errorf("id: %w", err)
	}
	function, err := parseHexID(fields["key"])
	if err != nil {
		return nil, 0, fmt.Errorf("key: %w", err)
	}
	maxAge, known := d.maxAges[class]
	if !known {
		return nil, 0, fmt.Errorf("class: %q is not known", class)
	}
	if tenant != "" && !d.tenants[tenant] || tenant == "" && len(d.tenants) > 0 {
		return nil, 0, fmt.Errorf("tenant: %q is not known", tenant)
	}
	wait, err := strconv.ParseUint(fields["wait"], 10, 32)
	timeLeft := time.Duration(wait) * time.Millisecond
	if err != nil || wait == 0 || timeLeft > maxAge+time.Millisecond { // clients round up to whole milliseconds
		return nil, 0, fmt.Errorf("wait: %q is not from 1 to the max age in milliseconds", fields["wait"])
	}
	scheduled = &scheduler.Request{ID: id, Type: class, Tenant: tenant, Function: function, TimeLeft: timeLeft}
	switch fields["retry"] {
	case "", "0":
	case "1":
		scheduled.Retry = true
	default:
		return nil, 0, fmt.Errorf("retry: %q is neither 1 nor absent", fields["retry"])
	}
	if err := parseFunctionAttributes(scheduled, fields["facts"]); err != nil {
		return nil, 0, fmt.Errorf("facts: %w", err)
	}
	return scheduled, numericID, nil
}

// decodeKey validates the idempotency key of a request. It drops the key if requests of that type have none, as no
// worker would use it to recognise a retry.
func (d requestDecoder) decodeKey(requestType, key string) (string, error) {
	if !d.keyed[requestType] {
		return "", nil
	}
	if key == "" || len(key) > maxKeyBytes || strings.ContainsFunc(key, invalidInKey) {
		return "", fmt.Errorf("once: %q is no mark of a keyed event", key)
	}
	return key, nil
}

// invalidInKey reports whether a character must not occur in an idempotency key, because it is not printable or would
// end a value in the fields of a command to a worker.
func invalidInKey(c rune) bool { return c == ',' || c == '=' || !unicode.IsPrint(c) }

// parseHexID parses an ID of 16 lower-case hex digits.
func parseHexID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 || strings.ToLower(text) != text {
		return 0, fmt.Errorf("%q is not 16 hex digits", text)
	}
	return id, nil
}

// parseFunctionAttributes parses the attributes of the function that the client states, and sets them in a request.
func parseFunctionAttributes(request *scheduler.Request, text string) error {
	if text == "" {
		return nil
	}
	for part := range strings.SplitSeq(text, ";") {
		name, value, found := strings.Cut(part, ":")
		n, err := strconv.ParseFloat(value, 64)
		if !found || err != nil || math.IsNaN(n) || n < 0 || n > maxAttributeValue {
			return fmt.Errorf("%q is no name and figure", part)
		}
		switch name {
		case "memory_mb":
			request.Memory = n
		case "lanes", "at_once":
			if n != math.Trunc(n) || n < 1 || n > maxConcurrency {
				return fmt.Errorf("%q is no number of lanes", part)
			}
			request.Concurrency = int(n)
		case "load_ms":
			request.LoadTime = time.Duration(n * float64(time.Millisecond))
		}
	}
	return nil
}
