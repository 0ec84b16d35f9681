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

// Methods and fields of the service; numbers of its structs' fields.
const (
	methodDispatch = "dispatch"
	methodCancel   = "cancelRequest"
	methodAlive    = "alive"

	resultSuccess   = 0
	resultThrottled = 1
	resultFailed    = 2

	maxBodyBytes = 16 << 10 // bytes of a body
	maxHeadBytes = 4 << 10  // of all else in a message
	maxKeyBytes  = 128      // of a mark
)

var errInvalidBody = errors.New("body: missing or longer than 16 KiB")

// clientRequest is an event as a client sends it.
type clientRequest struct {
	fact           *scheduler.Request
	numericID      uint64 // the id as a number
	idempotencyKey string // of a keyed event, by which workers know a repeat
	body           []byte
}

// requestDecoder knows what requests may hold.
type requestDecoder struct {
	maxAges map[string]time.Duration // of event types
	keyed   map[string]bool
	tenants map[string]bool
}

// decode reads the arguments of dispatch. What can't be passed on to a worker, or could be served only by mistake, is an
// error: the event is not taken.
func (r requestDecoder) decode(a thrift.Args) (clientRequest, error) {
	fields, is := a.StringMaps[1]
	body, has := a.Binaries[2]
	if !is {
		return clientRequest{}, errors.New("fields: missing")
	}
	if !has || len(body) > maxBodyBytes {
		return clientRequest{}, errInvalidBody
	}
	id, key, class, tenant := fields["id"], fields["key"], fields["class"], fields["tenant"]
	number, err := parseHexID(id)
	if err != nil {
		return clientRequest{}, fmt.Errorf("id: %w", err)
	}
	function, err := parseHexID(key)
	if err != nil {
		return clientRequest{}, fmt.Errorf("key: %w", err)
	}
	age, known := r.maxAges[class]
	if !known {
		return clientRequest{}, fmt.Errorf("class: %q is not known", class)
	}
	if tenant != "" && !r.tenants[tenant] || tenant == "" && len(r.tenants) > 0 {
		return clientRequest{}, fmt.Errorf("tenant: %q is not known", tenant)
	}
	wait, err := strconv.ParseUint(fields["wait"], 10, 32)
	patience := time.Duration(wait) * time.Millisecond
	if err != nil || wait == 0 || patience > age+time.Millisecond { // rounded up
		return clientRequest{}, fmt.Errorf("wait: %q is not from 1 to the max age in milliseconds", fields["wait"])
	}
	fact := &scheduler.Request{ID: id, Type: class, Tenant: tenant, Function: function, TimeLeft: patience}
	switch fields["retry"] {
	case "", "0":
	case "1":
		fact.Retry = true
	default:
		return clientRequest{}, fmt.Errorf("retry: %q is neither 1 nor absent", fields["retry"])
	}
	if err := parseFunctionFacts(fact, fields["facts"]); err != nil {
		return clientRequest{}, fmt.Errorf("facts: %w", err)
	}
	mark := fields["once"]
	if r.keyed[class] && (mark == "" || len(mark) > maxKeyBytes || strings.ContainsFunc(mark, breaksField)) {
		return clientRequest{}, fmt.Errorf("once: %q is no mark of a keyed event", mark)
	}
	if !r.keyed[class] { // nobody would drop a repeat by it
		mark = ""
	}
	return clientRequest{fact: fact, numericID: number, idempotencyKey: mark, body: body}, nil
}

// breaksField tells what would end a value in the fields of a worker's command, or is no text.
func breaksField(c rune) bool { return c == ',' || c == '=' || !unicode.IsPrint(c) }

// parseHexID reads 16 hex digits.
func parseHexID(s string) (uint64, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != 16 || strings.ToLower(s) != s {
		return 0, fmt.Errorf("%q is not 16 hex digits", s)
	}
	return n, nil
}

// parseFunctionFacts reads what is told of a request's function.
func parseFunctionFacts(e *scheduler.Request, text string) error {
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
			e.Memory = n
		case "lanes", "at_once":
			if e.Concurrency = int(n); n != math.Trunc(n) || n < 1 || n > maxConcurrency {
				return fmt.Errorf("%q is no number of lanes", part)
			}
		case "load_ms":
			e.LoadTime = time.Duration(n * float64(time.Millisecond))
		}
	}
	return nil
}

// A figure beyond these is no fact of a function.
const (
	maxFact        = 1e9
	maxConcurrency = 1 << 16
)

// encodeReply spells the answer to dispatch, or to alive.
func encodeReply(method string, seq int32, body []byte, good bool) []byte {
	w := thrift.NewWriter(method, thrift.Reply, seq)
	w.Struct(resultSuccess)
	w.Binary(1, body)
	w.StringMap(2)
	w.Bool(3, good)
	w.End()
	return w.Frame()
}

// encodeException spells one of the exceptions of dispatch.
func encodeException(seq int32, which int16, pairs ...string) []byte {
	w := thrift.NewWriter(methodDispatch, thrift.Reply, seq)
	w.Struct(which)
	w.StringMap(1, pairs...)
	w.End()
	return w.Frame()
}
