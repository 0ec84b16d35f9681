package invoke

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lupinpond/internal/gateway/fleetconfig"
)

// Limits of a request's headers.
const (
	maxClientIDBytes       = 256
	maxSourceBytes         = 1024
	maxIdempotencyKeyBytes = 256
	// maxWaitSeconds limits the wait preference of a client.
	maxWaitSeconds = 1e6
)

// specVersion is the only version of CloudEvents that the API accepts.
const specVersion = "1.0"

// Call is a parsed request of a client.
type Call struct {
	Function       fleetconfig.Function
	Type           fleetconfig.RequestType
	Tenant         string
	Source         string        // name by which the client identifies itself (ce-source)
	ClientID       string        // the client's ID of the request (ce-id), unique per source
	IdempotencyKey string        // idempotency key, unique in the fleet; empty if the request type has none
	TimeLeft       time.Duration // time until the client's deadline
	Retry          bool          // whether the client marked the request as a retry
	Body           []byte
}

// Catalogue holds the functions, request types and tenants of the settings, by which requests are validated.
type Catalogue struct {
	functions map[string]fleetconfig.Function
	types     map[string]fleetconfig.RequestType
	tenants   map[string]bool
	maxBody   int64
}

// NewCatalogue creates a Catalogue from the settings.
func NewCatalogue(config fleetconfig.File) *Catalogue {
	c := &Catalogue{
		functions: map[string]fleetconfig.Function{},
		types:     map[string]fleetconfig.RequestType{},
		tenants:   map[string]bool{},
		maxBody:   int64(config.Gateway.Limits.Body),
	}
	for _, function := range config.Functions {
		c.functions[function.Name] = function
	}
	for _, requestType := range config.Fleet.Types {
		c.types[requestType.Name] = requestType
	}
	for _, tenant := range config.Fleet.Tenants {
		c.tenants[tenant.Name] = true
	}
	return c
}

// ReadRequest parses an HTTP request into a Call. If it returns a problem, the request is not accepted and the problem
// is the complete response.
func (c *Catalogue) ReadRequest(w http.ResponseWriter, r *http.Request) (Call, *Problem) {
	call, problem := c.ReadHeader(r.PathValue("name"), r.Header)
	if problem != nil {
		return call, problem
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.maxBody))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return call, invalidRequest(http.StatusRequestEntityTooLarge, "the body is longer than %d bytes", c.maxBody)
	case err != nil:
		return call, badRequest("the body broke off: %v", err)
	}
	call.Body = body
	return call, nil
}

// ReadHeader parses the headers of a request for the function with the given name into a Call without a body.
func (c *Catalogue) ReadHeader(name string, header http.Header) (Call, *Problem) {
	function, known := c.functions[name]
	if !known {
		return Call{}, invalidRequest(http.StatusNotFound, "no function %q", name)
	}
	call := Call{
		Function: function,
		Type:     c.types[function.Type],
		Tenant:   function.Tenant,
		Source:   header.Get(headerSource),
		ClientID: header.Get(headerClientID),
		Retry:    header.Get(HeaderRetry) == "1",
	}
	problem := checkEvent(&call, header)
	if problem == nil {
		problem = c.readTenant(&call, header)
	}
	if problem == nil {
		problem = readIdempotencyKey(&call, header)
	}
	if problem == nil {
		problem = readTimeLeft(&call, header)
	}
	return call, problem
}

// checkEvent checks the CloudEvents headers and the lengths of the values that the client chooses.
func checkEvent(call *Call, header http.Header) *Problem {
	if version := header.Get(headerSpecVersion); version != "" && version != specVersion {
		return badRequest("ce-specversion %q, 1.0 is taken", version)
	}
	if requestType := header.Get(headerType); requestType != "" && requestType != call.Function.Type {
		return badRequest("ce-type %q, but %s takes events of type %s", requestType, call.Function.Name, call.Function.Type)
	}
	if len(call.ClientID) > maxClientIDBytes || len(call.Source) > maxSourceBytes ||
		len(header.Get(headerIdempotencyKey)) > maxIdempotencyKeyBytes {
		return badRequest("ce-id or Idempotency-Key longer than 256 bytes, or ce-source than 1024")
	}
	return nil
}

// readTenant reads the client's tenant. If the function belongs to a tenant, it must be the same tenant.
func (c *Catalogue) readTenant(call *Call, header http.Header) *Problem {
	tenant := header.Get(HeaderTenant)
	switch {
	case tenant == "":
		return nil
	case call.Function.Tenant != "" && tenant != call.Function.Tenant:
		return invalidRequest(http.StatusForbidden, "%s belongs to another tenant", call.Function.Name)
	case !c.tenants[tenant]:
		return invalidRequest(http.StatusForbidden, "no tenant %q", tenant)
	}
	call.Tenant = tenant
	return nil
}

// readIdempotencyKey reads the idempotency key of a request whose type requires one. Without an Idempotency-Key header
// it uses the client's source and ID instead. The key is prefixed by tenant and function, so that keys of different
// tenants and functions do not collide.
func readIdempotencyKey(call *Call, header http.Header) *Problem {
	if call.Type.Effect != "keyed" {
		return nil
	}
	key := strings.Trim(header.Get(headerIdempotencyKey), `"`)
	if key == "" && call.ClientID != "" {
		key = call.Source + "\n" + call.ClientID
	}
	if key == "" {
		return badRequest("an event of the keyed type %s needs Idempotency-Key or ce-id", call.Function.Type)
	}
	call.IdempotencyKey = call.Tenant + "\n" + call.Function.Name + "\n" + key
	return nil
}

// readTimeLeft sets the time left to the client's wait preference, limited to the max age of the request type.
func readTimeLeft(call *Call, header http.Header) *Problem {
	preferences, err := parsePrefer(header.Values(headerPrefer))
	if err != nil {
		return badRequest("Prefer: %v", err)
	}
	if preferences.async {
		return invalidRequest(http.StatusNotImplemented, "deferred calls (respond-async) are not built yet")
	}
	call.TimeLeft = call.Type.MaxAge.Std()
	if preferences.wait > 0 {
		call.TimeLeft = min(call.TimeLeft, preferences.wait)
	}
	return nil
}

// preferences holds the preferences of RFC 7240 that the API supports.
type preferences struct {
	wait  time.Duration // value of "wait"; 0 if not stated
	async bool          // whether "respond-async" is stated
}

// parsePrefer parses the values of Prefer headers. It ignores unknown preferences, as RFC 7240 requires.
func parsePrefer(values []string) (parsed preferences, err error) {
	for _, value := range values {
		for _, preference := range strings.Split(value, ",") {
			preference, _, _ = strings.Cut(preference, ";")
			name, argument, _ := strings.Cut(strings.TrimSpace(preference), "=")
			switch strings.ToLower(strings.TrimSpace(name)) {
			case "respond-async":
				parsed.async = true
			case "wait":
				seconds, err := strconv.ParseFloat(strings.Trim(strings.TrimSpace(argument), `"`), 64)
				if err != nil || !(seconds > 0 && seconds < maxWaitSeconds) {
					return preferences{}, fmt.Errorf("wait=%s is no time in seconds", argument)
				}
				parsed.wait = time.Duration(seconds * float64(time.Second))
			}
		}
	}
	return parsed, nil
}
