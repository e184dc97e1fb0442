// Package instance speaks with the other instances of the fleet, by jsonrpc2
// over TCP.
package instance

import (
	"context"
	"encoding/json"
	"strings"
)

// atAddress begins the identifiers that At returns; those of instances begin
// with a letter or a digit.
const atAddress = "@"

// At returns an identifier for whichever instance listens at an address, for
// Learn and Call.
func At(address string) string { return atAddress + address }

// greeted returns whom a greeting names: nobody if any instance will do.
func greeted(id string) string {
	if strings.HasPrefix(id, atAddress) {
		return ""
	}
	return id
}

// Handler answers one method for other instances. The caller's identifier is
// from. Errors reach the other side with their kind.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Mesh calls other instances and answers their calls. Connections are opened
// when they are needed and proved alive before they are trusted.
type Mesh interface {
	// Call sends params to method at the instance with this identifier and
	// decodes its answer into result, which may be nil. A call of which
	// nothing can have reached the other side fails with an error whose
	// outcome is fault.NotRun; any other lost call has fault.Unknown.
	Call(ctx context.Context, to, method string, params, result any) error
	// Handle sets the handler of a method, before the mesh starts.
	Handle(method string, h Handler)
	// Learn replaces the known addresses of the instances by identifier.
	Learn(addresses map[string]string)
}
