package entry

import (
	"strings"

	"cicadawell.dev/router/settings"
	"github.com/google/uuid"
)

// identifiers mints identifiers that no caller can guess. Those of requests
// begin with the instance, which keeps the request's decisions.
type identifiers struct{ instance string }

// newIdentifiers has the library read randomness in blocks, since each request
// takes several identifiers.
func newIdentifiers(cfg settings.Settings) identifiers {
	uuid.EnableRandPool()
	return identifiers{instance: cfg.ID}
}

// NewRequest returns an identifier for a request.
func (i identifiers) NewRequest() string { return i.instance + "-" + uuid.NewString() }

// NewAttempt returns an identifier for an attempt.
func (i identifiers) NewAttempt() string { return uuid.NewString() }

// uuidLength is that of the text form of a UUID.
const uuidLength = 36

// instanceOf returns the instance that minted a request's identifier.
func instanceOf(request string) (string, bool) {
	n := len(request) - uuidLength - 1
	if n < 1 || request[n] != '-' {
		return "", false
	}
	return request[:n], !strings.ContainsAny(request[:n], "/ ")
}
