// Package instance implements calls between the instances of the fleet, by
// JSON-RPC 2.0 over TCP.
package instance

import (
	"context"
	"encoding/json"
	"strings"
)

// addressPrefix is the prefix of the identifiers that IDForAddress returns.
// Identifiers of instances begin with a letter or a digit.
const addressPrefix = "@"

// IDForAddress returns an identifier for whichever instance listens at an
// address, for SetAddresses and Call.
func IDForAddress(address string) string { return addressPrefix + address }

// helloTarget returns the instance identifier for hello.To. It is empty for an
// identifier from IDForAddress, which matches any instance.
func helloTarget(id string) string {
	if strings.HasPrefix(id, addressPrefix) {
		return ""
	}
	return id
}

// Handler handles calls of one method from other instances. from is the
// identifier of the calling instance. Errors are returned to it with their kind.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Mesh calls other instances and answers their calls. Connections are opened
// on demand and checked for liveness before a call is sent over them.
type Mesh interface {
	// Call sends params to method at the instance with this identifier and
	// decodes its answer into result, which may be nil. A call that cannot
	// have reached the other side fails with an error whose outcome is
	// fault.NotRun; the error of any other lost call has fault.Unknown.
	Call(ctx context.Context, to, method string, params, result any) error
	// Handle sets the handler of a method. It must be called before the
	// mesh starts.
	Handle(method string, h Handler)
	// SetAddresses replaces the known addresses of the instances, by identifier.
	// A connection to a removed instance stays open until its calls in
	// flight have ended.
	SetAddresses(addresses map[string]string)
}
