package roll

import "cicadawell.dev/fleet/fault"

// Methods that instances call on each other.
const (
	methodStage    = "roll.stage"
	methodApply    = "roll.apply"
	methodStatus   = "roll.status"
	methodJoin     = "roll.join"
	methodManifest = "roll.manifest"
	methodParts    = "roll.parts"
)

// Reference identifies a version and where its content can be read.
type Reference struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Write and Chunks identify the content in the store: the identifier of its
	// write, and the number of values that it is split into.
	Write  string `json:"write"`
	Chunks int    `json:"packs"`
	// Source is an instance that has the content; it may be empty.
	Source string `json:"source,omitempty"`
}

// WithSource returns a copy with another source.
func (r Reference) WithSource(id string) Reference {
	r.Source = id
	return r
}

// Ack is the acknowledgement of an instance: it has and has verified the
// requested version, or has this version or a later one in force.
type Ack struct {
	// InForce and Digest are the version in force on the instance and its
	// digest.
	InForce uint64 `json:"inForce"`
	Digest  string `json:"digest,omitempty"`
	// Joining are the instances that read the version in force from this one
	// and may not be registered yet.
	Joining []string `json:"guests,omitempty"`
}

// covers returns an error unless ref or a later version is in force on the
// instance that acknowledges.
func (a Ack) covers(ref Reference) error {
	if a.InForce < ref.Version || (a.InForce == ref.Version && a.Digest != ref.Digest) {
		return fault.New(fault.Internal, "version %d with digest %s is in force there", a.InForce, a.Digest)
	}
	return nil
}

// Status is the state of an instance as other instances see it.
type Status struct {
	// InForce is the version in force on the instance; its number is zero if
	// there is none.
	InForce Reference `json:"inForce"`
	// Serving reports whether the instance may serve requests.
	Serving bool `json:"serving"`
	// Coordinating is the version whose rollout the instance coordinates; zero
	// means none.
	Coordinating uint64 `json:"driving,omitempty"`
	// StoreReachable reports whether the store answered the instance recently.
	StoreReachable bool `json:"stored"`
	// Blockers are the instances that block the rollout that the instance
	// coordinates.
	Blockers []blocker `json:"waiting,omitempty"`
}

// statusRequest asks for a Status.
type statusRequest struct {
	// InForce is the version in force on the requesting instance.
	InForce uint64 `json:"inForce"`
}

// joinRequest requests a Status and registers the sender as joining in later
// Acks.
type joinRequest struct{}

type manifestRequest struct {
	Digest string `json:"digest"`
}

type manifestAnswer struct {
	Parts []partHash `json:"parts"`
}

type partsRequest struct {
	Digest string `json:"digest"`
	// Indexes are positions in the manifest.
	Indexes []int `json:"indexes"`
}

// partsAnswer holds the first of the requested parts, at least one.
type partsAnswer struct {
	Parts [][]byte `json:"parts"`
}
