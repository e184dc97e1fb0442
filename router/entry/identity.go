package entry

import (
	"strings"

	"cicadawell.dev/router/settings"
	"github.com/google/uuid"
)

// identifiers generates identifiers that callers cannot guess. Request
// identifiers begin with the identifier of the instance that keeps the request's
// decisions.
type identifiers struct{ instance string }

// newIdentifiers makes the UUID library read randomness in blocks, since each
// request needs several identifiers.
func newIdentifiers(cfg settings.Settings) identifiers {
	uuid.EnableRandPool()
	return identifiers{instance: cfg.ID}
}

// NewRequest returns an identifier for a request.
func (i identifiers) NewRequest() string { return i.instance + "-" + uuid.NewString() }

// NewAttempt returns an identifier for an attempt.
func (i identifiers) NewAttempt() string { return uuid.NewString() }

// uuidLength is the length of a UUID in text form.
const uuidLength = 36

// instanceOf returns the instance that generated a request identifier. It
// reports false for text that is not such an identifier.
func instanceOf(request string) (string, bool) {
	n := len(request) - uuidLength - 1
	if n < 1 || request[n] != '-' {
		return "", false
	}
	return request[:n], !strings.ContainsAny(request[:n], "/ ")
}
