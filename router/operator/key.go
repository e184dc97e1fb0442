package operator

import (
	"crypto/subtle"
	"strings"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/fault"
)

// Operator is a person or program that may call the operator API.
type Operator struct {
	Name string
	// KeyHash is the SHA-256 hash of the operator's API key, in hex.
	KeyHash string
	// MayWrite allows writing drafts, rolling versions out, and taking
	// zones and runners out and bringing them back.
	MayWrite bool
	// MayApprove allows signing off versions.
	MayApprove bool
}

// permission is what an operator needs to make a call.
type permission int

const (
	mayRead permission = iota
	mayWrite
	mayApprove
)

func (o Operator) allows(p permission) bool {
	switch p {
	case mayWrite:
		return o.MayWrite
	case mayApprove:
		return o.MayApprove
	default:
		return true
	}
}

// keys authenticates operators by their API keys.
type keys struct{ operators []Operator }

func newKeys(operators []Operator) keys { return keys{operators: operators} }

const bearerPrefix = "Bearer "

// authenticate returns the operator whose key is in the Authorization header. It
// compares hashes in constant time and always compares those of all operators,
// so that its timing reveals nothing about the keys.
func (k keys) authenticate(header string) (Operator, error) {
	key, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || key == "" {
		return Operator{}, fault.New(fault.Unauthenticated, "no bearer key").WithField("Authorization")
	}
	hash := []byte(bundle.HashKey(key))
	found := -1
	for i, o := range k.operators {
		if subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(o.KeyHash))) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Operator{}, fault.New(fault.Unauthenticated, "unknown key").WithField("Authorization")
	}
	return k.operators[found], nil
}
