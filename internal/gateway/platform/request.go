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
	// maxBodyBytes is the longest body.
	maxBodyBytes = 16 << 10

	// maxHeadBytes is the longest that all else in a message may be.
	maxHeadBytes = 4 << 10

	// maxKeyBytes is the longest idempotency key.
	maxKeyBytes = 128

	// maxFact is the largest figure of a function.
	maxFact = 1e9

	// maxConcurrency is the largest concurrency of a replica.
	maxConcurrency = 1 << 16
)

var (
	errNoFields    = errors.New("fields: missing")
	errInvalidBody = errors.New("body: missing or longer than 16 KiB")
)

// clientRequest is a request as a client sends it.
type clientRequest struct {
	fact           *scheduler.Request
	numericID      uint64
	idempotencyKey string // by which workers recognise a retry of a keyed request
	body           []byte
}

// requestDecoder decodes and checks requests by the request types and tenants of the settings.
type requestDecoder struct {
	maxAges map[string]time.Duration // by request type
	keyed   map[string]bool          // request types with an idempotency key
	tenants map[string]bool
}

// decode decodes the arguments of dispatch. What can't be passed on to a worker, or could be served only by mistake, is
// an error, whose text the client gets.
func (d requestDecoder) decode(args thrift.Args) (clientRequest, error) {
	fields, hasFields := args.StringMaps[1]
	body, hasBody := args.Binaries[2]
	if !hasFields {
		return clientRequest{}, errNoFields
	}
	if !hasBody || len(body) > maxBodyBytes {
		return clientRequest{}, errInvalidBody
	}
	fact, numericID, err := d.decodeFields(fields)
	if err != nil {
		return clientRequest{}, err
	}
	key, err := d.decodeKey(fact.Type, fields["once"])
	if err != nil {
		return clientRequest{}, err
	}
	return clientRequest{fact: fact, numericID: numericID, idempotencyKey: key, body: body}, nil
}

// decodeFields decodes what the scheduler has to know of a request.
func (d requestDecoder) decodeFields(fields map[string]string) (fact *scheduler.Request, numericID uint64, err error) {
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
	if err != nil || wait == 0 || timeLeft > maxAge+time.Millisecond { // clients round it up
		return nil, 0, fmt.Errorf("wait: %q is not from 1 to the max age in milliseconds", fields["wait"])
	}
	fact = &scheduler.Request{ID: id, Type: class, Tenant: tenant, Function: function, TimeLeft: timeLeft}
	switch fields["retry"] {
	case "", "0":
	case "1":
		fact.Retry = true
	default:
		return nil, 0, fmt.Errorf("retry: %q is neither 1 nor absent", fields["retry"])
	}
	if err := parseFunctionFacts(fact, fields["facts"]); err != nil {
		return nil, 0, fmt.Errorf("facts: %w", err)
	}
	return fact, numericID, nil
}

// decodeKey checks the idempotency key of a request of a type. Where the type has none it is dropped: no worker would
// recognise a retry by it.
func (d requestDecoder) decodeKey(requestType, key string) (string, error) {
	if !d.keyed[requestType] {
		return "", nil
	}
	if key == "" || len(key) > maxKeyBytes || strings.ContainsFunc(key, breaksField) {
		return "", fmt.Errorf("once: %q is no mark of a keyed event", key)
	}
	return key, nil
}

// breaksField reports whether a character would end a value in the fields of a worker's command, or is no text.
func breaksField(c rune) bool { return c == ',' || c == '=' || !unicode.IsPrint(c) }

// parseHexID parses 16 lower-case hex digits.
func parseHexID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 || strings.ToLower(text) != text {
		return 0, fmt.Errorf("%q is not 16 hex digits", text)
	}
	return id, nil
}

// parseFunctionFacts adds to a request what its client knows of the function.
func parseFunctionFacts(request *scheduler.Request, text string) error {
	if text == "" {
		return nil
	}
	for part := range strings.SplitSeq(text, ";") {
		name, value, found := strings.Cut(part, ":")
		n, err := strconv.ParseFloat(value, 64)
		if !found || err != nil || math.IsNaN(n) || n < 0 || n > maxFact {
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
