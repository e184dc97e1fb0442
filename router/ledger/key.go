package ledger

import (
	"time"

	"cicadawell.dev/fleet/fault"
	"github.com/google/uuid"
)

// fieldKey is the field name of the idempotency key in errors.
const fieldKey = "key"

// versionTimeOrdered is the version of UUIDs that start with a timestamp.
const versionTimeOrdered = 7

// mintTime returns when a key was minted, by the caller's clock.
func mintTime(key string) (time.Time, error) {
	id, err := uuid.Parse(key)
	if err != nil {
		return time.Time{}, fault.Wrap(fault.BadKey, err, "want a UUID of version 7, got %q", key).WithField(fieldKey)
	}
	if id.Version() != versionTimeOrdered || id.Variant() != uuid.RFC4122 || id.String() != key {
		return time.Time{}, fault.New(fault.BadKey, "want a UUID of version 7 in lower case, got %q", key).WithField(fieldKey)
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), nil
}
