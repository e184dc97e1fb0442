package operator

import (
	"crypto/subtle"
	"strings"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/fault"
)

// Operator is a person or program that may call the interface.
type Operator struct {
	Name string
	// KeyHash is the hex SHA-256 hash of the operator's key.
	KeyHash string
	// MayWrite allows drafts, rolls and orders on zones and runners.
	MayWrite bool
	// MayApprove allows signing versions off.
	MayApprove bool
}

// right is what a call asks of an operator.
type right int

const (
	mayRead right = iota
	mayWrite
	mayApprove
)

func (o Operator) has(r right) bool {
	switch r {
	case mayWrite:
		return o.MayWrite
	case mayApprove:
		return o.MayApprove
	default:
		return true
	}
}

// keys finds operators by their keys.
type keys struct{ operators []Operator }

func newKeys(operators []Operator) keys { return keys{operators: operators} }

const bearer = "Bearer "

// find returns the operator whose key the Authorization header carries. It
// compares hashes in constant time and goes through all operators in any case.
func (k keys) find(header string) (Operator, error) {
	key, ok := strings.CutPrefix(header, bearer)
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
