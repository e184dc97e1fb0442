package operatorapi

import (
	"encoding/json"
	"time"
)

// Phase is the phase of a version in its life cycle.
type Phase string

// The phases of a version, in order.
const (
	// Draft is a version that was written and not signed off yet.
	Draft Phase = "draft"
	// Signed is a version that an approver signed off.
	Signed Phase = "signed"
	// Staging is a version whose roll has started: instances fetch and check
	// it. The roll can still be cancelled.
	Staging Phase = "staging"
	// Decided is a version whose roll is committed: it can no longer be
	// cancelled.
	Decided Phase = "decided"
	// Accepted is a version that is in force on every instance.
	Accepted Phase = "accepted"
	// Superseded is a version that was replaced by a later one before it was
	// accepted.
	Superseded Phase = "superseded"
)

// Version is the record of one version of the bundle.
type Version struct {
	Version uint64 `json:"version"`
	Phase   Phase  `json:"phase"`
	// Base is the version on which the draft is based.
	Base uint64 `json:"base"`
	// Digest is the hex-encoded SHA-256 of the content without its version.
	// The sign-off covers it.
	Digest string `json:"digest"`
	// WriteID is the ID of the write request; retries carry the same one.
	WriteID string `json:"write"`
	// Chunks is the number of values in the store into which the content is
	// split.
	Chunks int `json:"packs"`
	// Bytes is the size of the encoded content.
	Bytes int64 `json:"bytes"`

	Writer    string    `json:"writer"`
	WrittenAt time.Time `json:"writtenAt"`
	Note      string    `json:"note,omitempty"`
	// Signer is the operator who signed the version off, who is never the
	// writer; empty until then.
	Signer   string    `json:"signer,omitempty"`
	SignedAt time.Time `json:"signedAt,omitzero"`
	// RolledBy is the operator who started the roll.
	RolledBy   string    `json:"roller,omitempty"`
	RolledAt   time.Time `json:"rolledAt,omitzero"`
	DecidedAt  time.Time `json:"decidedAt,omitzero"`
	AcceptedAt time.Time `json:"acceptedAt,omitzero"`
	// Step is the ID of the request that last started a roll of the version.
	Step string `json:"step,omitempty"`
	// Coordinator is the instance that received the request to start the
	// roll.
	Coordinator string `json:"driver,omitempty"`
	// Members lists the instances that had checked the version at the time
	// of the decision. Only the version decided last has them.
	Members []string `json:"members,omitempty"`
	// MemberCount is the number of those instances; it remains after Members
	// was removed.
	MemberCount int `json:"memberCount,omitempty"`
}

// PendingInstance is an instance that has not completed a roll or acknowledged an
// order yet, with the reason.
type PendingInstance struct {
	Instance string `json:"instance"`
	Reason   string `json:"reason"`
}

// BundleStatus is the state of the bundle and of its versions.
type BundleStatus struct {
	// InForce is the version that was decided last; zero means none.
	InForce uint64 `json:"inForce"`
	// Rolling is the version that is not yet accepted; zero means none.
	Rolling uint64 `json:"rolling"`
	// Stale is true if the store did not respond and the status is the last
	// one that the instance had read.
	Stale bool `json:"stale,omitempty"`
	// InForceHere is the version in force on the instance that sent this
	// status.
	InForceHere uint64 `json:"inForceHere"`
	// Instance is the instance that sent this status.
	Instance string `json:"instance"`
	// Versions is in ascending order of version.
	Versions []Version `json:"versions"`
	// Pending lists the instances for which the current roll is waiting.
	Pending []PendingInstance `json:"waiting,omitempty"`
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

// WriteRequest is the request to store a draft.
type WriteRequest struct {
	// WriteID is the ID of the request, a UUID of version 7. Retries carry the
	// same one.
	WriteID string `json:"write"`
	// Note describes the purpose of the draft to the approver.
	Note string `json:"note,omitempty"`
	// Bundle is the content. Its version is the version on which the draft
	// is based; zero means the version in force.
	Bundle json.RawMessage `json:"bundle"`
}

// StepRequest is the request to sign off, roll, cancel or discard a version.
type StepRequest struct {
	// StepID is the ID of the request, a UUID of version 7. Retries carry the
	// same one.
	StepID string `json:"step"`
	// Digest is the digest of the version's content as the operator saw it.
	// The request is rejected as a conflict if the content has another one.
	Digest string `json:"digest"`
	// ExpectedVersion is the version in force that the operator saw. The
	// request is rejected as a conflict if another one is in force.
	ExpectedVersion uint64 `json:"seen"`
}
