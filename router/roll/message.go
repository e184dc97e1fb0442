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

// Reference names a version and tells where its content is.
type Reference struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Write and Packs name the content in the store.
	Write string `json:"write"`
	Packs int    `json:"packs"`
	// Source is an instance that holds the content; it may be empty.
	Source string `json:"source,omitempty"`
}

// WithSource returns a copy that names an instance that holds the content.
func (r Reference) WithSource(id string) Reference {
	r.Source = id
	return r
}

// Ack says that an instance holds and has checked a version, or that it has
// this version or a later one in force.
type Ack struct {
	// InForce and Digest are the version in force there and its digest.
	InForce uint64 `json:"inForce"`
	Digest  string `json:"digest,omitempty"`
	// Guests are instances that took the bundle in force from this one and
	// may not be registered yet.
	Guests []string `json:"guests,omitempty"`
}

// covers returns an error unless ref or a later version is in force there.
func (a Ack) covers(ref Reference) error {
	if a.InForce < ref.Version || (a.InForce == ref.Version && a.Digest != ref.Digest) {
		return fault.New(fault.Internal, "version %d with digest %s is in force there", a.InForce, a.Digest)
	}
	return nil
}

// Status is what an instance tells others of itself.
type Status struct {
	// InForce is the version in force there; zero while there is none.
	InForce Reference `json:"inForce"`
	// Serving tells that the instance may serve with it.
	Serving bool `json:"serving"`
	// Driving is the version that the instance drives; zero means none.
	Driving uint64 `json:"driving,omitempty"`
	// Stored tells that the instance reached the store a short time ago.
	Stored bool `json:"stored"`
	// Waiting are the instances that hold the roll driven there.
	Waiting []waiting `json:"waiting,omitempty"`
}

// statusRequest asks for a Status.
type statusRequest struct {
	// InForce is the version in force on the instance that asks.
	InForce uint64 `json:"inForce"`
}

// joinRequest asks for a Status and to be named in Acks.
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

// partsAnswer has the first parts that were asked for, at least one.
type partsAnswer struct {
	Parts [][]byte `json:"parts"`
}
