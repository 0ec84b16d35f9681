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

	resultAnswer    = 0
	resultThrottled = 1
	resultBroken    = 2

	mostBody = 16 << 10 // bytes of a body
	mostHead = 4 << 10  // of all else in a message
	mostMark = 128      // of a mark
)

var errBody = errors.New("body: missing or longer than 16 KiB")

// request is an event as a client sends it.
type request struct {
	fact   *scheduler.Request
	number uint64 // the id as a number
	mark   string // of a keyed event, by which workers know a repeat
	body   []byte
}

// reads knows what requests may hold.
type reads struct {
	ages    map[string]time.Duration // of event types
	keyed   map[string]bool
	tenants map[string]bool
}

// read reads the arguments of dispatch. What can't be passed on to a worker, or could be served only by mistake, is an
// error: the event is not taken.
func (r reads) read(a thrift.Args) (request, error) {
	fields, is := a.Maps[1]
	body, has := a.Bins[2]
	if !is {
		return request{}, errors.New("fields: missing")
	}
	if !has || len(body) > mostBody {
		return request{}, errBody
	}
	id, key, class, tenant := fields["id"], fields["key"], fields["class"], fields["tenant"]
	number, err := hex(id)
	if err != nil {
		return request{}, fmt.Errorf("id: %w", err)
	}
	function, err := hex(key)
	if err != nil {
		return request{}, fmt.Errorf("key: %w", err)
	}
	age, known := r.ages[class]
	if !known {
		return request{}, fmt.Errorf("class: %q is not known", class)
	}
	if tenant != "" && !r.tenants[tenant] || tenant == "" && len(r.tenants) > 0 {
		return request{}, fmt.Errorf("tenant: %q is not known", tenant)
	}
	wait, err := strconv.ParseUint(fields["wait"], 10, 32)
	patience := time.Duration(wait) * time.Millisecond
	if err != nil || wait == 0 || patience > age+time.Millisecond { // rounded up
		return request{}, fmt.Errorf("wait: %q is not from 1 to the max age in milliseconds", fields["wait"])
	}
	fact := &scheduler.Request{ID: id, Type: class, Tenant: tenant, Function: function, TimeLeft: patience}
	switch fields["retry"] {
	case "", "0":
	case "1":
		fact.Retry = true
	default:
		return request{}, fmt.Errorf("retry: %q is neither 1 nor absent", fields["retry"])
	}
	if err := facts(fact, fields["facts"]); err != nil {
		return request{}, fmt.Errorf("facts: %w", err)
	}
	mark := fields["once"]
	if r.keyed[class] && (mark == "" || len(mark) > mostMark || strings.ContainsFunc(mark, splits)) {
		return request{}, fmt.Errorf("once: %q is no mark of a keyed event", mark)
	}
	if !r.keyed[class] { // nobody would drop a repeat by it
		mark = ""
	}
	return request{fact: fact, number: number, mark: mark, body: body}, nil
}

// splits tells what would end a value in the fields of a worker's command, or is no text.
func splits(c rune) bool { return c == ',' || c == '=' || !unicode.IsPrint(c) }

// hex reads 16 hex digits.
func hex(s string) (uint64, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != 16 || strings.ToLower(s) != s {
		return 0, fmt.Errorf("%q is not 16 hex digits", s)
	}
	return n, nil
}

// facts reads what is told of a request's function.
func facts(e *scheduler.Request, text string) error {
	if text == "" {
		return nil
	}
	for part := range strings.SplitSeq(text, ";") {
		name, value, found := strings.Cut(part, ":")
		n, err := strconv.ParseFloat(value, 64)
		if !found || err != nil || math.IsNaN(n) || n < 0 || n > mostFact {
			return fmt.Errorf("%q is no name and figure", part)
		}
		switch name {
		case "memory_mb":
			e.Memory = n
		case "lanes", "at_once":
			if e.Concurrency = int(n); n != math.Trunc(n) || n < 1 || n > mostLanes {
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
	mostFact  = 1e9
	mostLanes = 1 << 16
)

// answer spells the answer to dispatch, or to alive.
func answer(method string, seq int32, body []byte, good bool) []byte {
	w := thrift.NewWriter(method, thrift.Reply, seq)
	w.Struct(resultAnswer)
	w.Binary(1, body)
	w.Texts(2)
	w.Bool(3, good)
	w.End()
	return w.Frame()
}

// thrown spells one of the exceptions of dispatch.
func thrown(seq int32, which int16, pairs ...string) []byte {
	w := thrift.NewWriter(methodDispatch, thrift.Reply, seq)
	w.Struct(which)
	w.Texts(1, pairs...)
	w.End()
	return w.Frame()
}
