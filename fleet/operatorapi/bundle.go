package operatorapi

import (
	"encoding/json"
	"time"
)

// Phase is how far a version has come.
type Phase string

// The phases of a version in their order.
const (
	// Draft is a version that was written.
	Draft Phase = "draft"
	// Signed is a version that an approver signed off.
	Signed Phase = "signed"
	// Staging is a version that instances are fetching and checking.
	Staging Phase = "staging"
	// Decided is a version that can only go forward.
	Decided Phase = "decided"
	// Accepted is a version that is in force on every instance.
	Accepted Phase = "accepted"
	// Superseded is a version that a later one replaced before it was
	// accepted.
	Superseded Phase = "superseded"
)

// Version is the record of one version of the bundle.
type Version struct {
	Version uint64 `json:"version"`
	Phase   Phase  `json:"phase"`
	// Base is the version that the draft was made from.
	Base uint64 `json:"base"`
	// Digest is the hex SHA-256 of the content without its version; the
	// sign-off covers it.
	Digest string `json:"digest"`
	// Write is the identifier of the write; a repeat of the write carries
	// the same one.
	Write string `json:"write"`
	// Packs is the number of values that hold the content.
	Packs int   `json:"packs"`
	Bytes int64 `json:"bytes"`

	Writer    string    `json:"writer"`
	WrittenAt time.Time `json:"writtenAt"`
	Note      string    `json:"note,omitempty"`
	// Signer is empty until the version is signed off, and never the writer.
	Signer   string    `json:"signer,omitempty"`
	SignedAt time.Time `json:"signedAt,omitzero"`
	// Roller is the operator who started the roll.
	Roller     string    `json:"roller,omitempty"`
	RolledAt   time.Time `json:"rolledAt,omitzero"`
	DecidedAt  time.Time `json:"decidedAt,omitzero"`
	AcceptedAt time.Time `json:"acceptedAt,omitzero"`
	// Step is the identifier of the roll that was started last.
	Step string `json:"step,omitempty"`
	// Driver is the instance that the roll was started over.
	Driver string `json:"driver,omitempty"`
	// Members are the instances that were recorded with the decision; only
	// the version decided last carries them.
	Members []string `json:"members,omitempty"`
	// MemberCount is how many there were.
	MemberCount int `json:"memberCount,omitempty"`
}

// Waiting is an instance that holds a roll.
type Waiting struct {
	Instance string `json:"instance"`
	Reason   string `json:"reason"`
}

// BundleStatus is the state of the bundle and of its versions.
type BundleStatus struct {
	// InForce is the version that was decided last; zero means none.
	InForce uint64 `json:"inForce"`
	// Rolling is the version that is not yet accepted; zero means none.
	Rolling uint64 `json:"rolling"`
	// Stale tells that the store does not answer, so that this is what the
	// instance knew before.
	Stale bool `json:"stale,omitempty"`
	// InForceHere is the version in force on the instance that answers.
	InForceHere uint64 `json:"inForceHere"`
	// Instance is the one that answers.
	Instance string `json:"instance"`
	// Versions are in ascending order.
	Versions []Version `json:"versions"`
	// Waiting are the instances that hold the present roll.
	Waiting []Waiting `json:"waiting,omitempty"`
}

// Find returns the record of version v.
func (s BundleStatus) Find(v uint64) (Version, bool) {
	for _, r := range s.Versions {
		if r.Version == v {
			return r, true
		}
	}
	return Version{}, false
}

// WriteRequest stores a draft.
type WriteRequest struct {
	// Write is a UUID of version 7 that repeats of the write share.
	Write string `json:"write"`
	// Note tells the approver what the draft is for.
	Note string `json:"note,omitempty"`
	// Bundle is the content; its version is the one it was made from.
	Bundle json.RawMessage `json:"bundle"`
}

// StepRequest moves a version one step on.
type StepRequest struct {
	// Step is a UUID of version 7 that repeats of the step share.
	Step string `json:"step"`
	// Digest is that of the content that the operator means.
	Digest string `json:"digest"`
	// Seen is the version in force that the operator saw. The step is
	// refused as a conflict when another one is in force.
	Seen uint64 `json:"seen"`
}
