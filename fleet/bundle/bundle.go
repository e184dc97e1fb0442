// Package bundle defines the versioned configuration that operators write, sign
// off and roll out: tiers, teams, availability zones, runners and pipelines.
package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Bundle is one version of the configuration. A Bundle must not be modified after
// it was checked.
type Bundle struct {
	// Version is unique and increases monotonically; zero means a draft to
	// which no version was assigned.
	Version   uint64     `json:"version"`
	Tiers     []Tier     `json:"tiers"`
	Teams     []Team     `json:"teams"`
	Zones     []Zone     `json:"zones"`
	Runners   []Runner   `json:"runners"`
	Pipelines []Pipeline `json:"pipelines"`
}

// Tier is a class of teams.
type Tier struct {
	ID string `json:"id"`
	// Paying gives the tier strict priority over tiers that are not paying.
	Paying bool `json:"paying"`
}

// Team is a customer.
type Team struct {
	ID   string `json:"id"`
	Tier string `json:"tier"`
	// KeyHashes are the hex-encoded SHA-256 hashes of the team's API keys.
	KeyHashes []string `json:"keyHashes"`
	// RatePerSecond limits the team's requests per second over all instances
	// together; zero means no limit.
	RatePerSecond float64 `json:"ratePerSecond,omitempty"`
	// Weight is the team's weight for fair sharing among the teams of its
	// tier; zero means 1.
	Weight float64 `json:"weight,omitempty"`
}

// Zone is an availability zone.
type Zone struct {
	ID     string `json:"id"`
	Region string `json:"region,omitempty"`
}

// Runner is a backend: a model engine, a member of a pool or a service without
// models.
type Runner struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Address is the runner's IP address and port.
	Address string `json:"address"`
	Service string `json:"service"`
	// Models are the names of the models that the runner has loaded; empty
	// for services without models.
	Models []string `json:"models,omitempty"`
	// Slots is the runner's concurrency limit when it is warm.
	Slots int `json:"slots"`
	// ColdSlots is the runner's concurrency limit during a cold start, over
	// all instances together; at least 1 and at most Slots.
	ColdSlots int `json:"coldSlots"`
	// WarmupMillis is the duration of a cold start in milliseconds, if the
	// load stays within ColdSlots.
	WarmupMillis int64 `json:"warmupMillis,omitempty"`
	// ReportsLoad is true if the runner includes its load in its responses
	// and answers load queries.
	ReportsLoad bool `json:"reportsLoad,omitempty"`
	// ChecksFencing is true if the runner rejects orders with an outdated
	// fencing token.
	ChecksFencing bool `json:"checksFencing,omitempty"`
}

// Pipeline is a sequence of stages that a request runs through.
type Pipeline struct {
	ID     string  `json:"id"`
	Stages []Stage `json:"stages"`
	// DeadlineMillis is the default deadline in milliseconds, for requests
	// that set none.
	DeadlineMillis int64 `json:"deadlineMillis"`
	// MaxDeadlineMillis is the longest deadline in milliseconds that a
	// request may set.
	MaxDeadlineMillis int64 `json:"maxDeadlineMillis"`
	// MaxBodyBytes limits the size of the request body.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
}

// Stage is one step of a pipeline.
type Stage struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Model   string `json:"model,omitempty"`
	// Idempotent is true if the stage may be retried. Only the last stage of
	// a pipeline may be non-idempotent.
	Idempotent bool `json:"idempotent"`
	// Streams is true if the runner streams its result. Only the last stage
	// of a pipeline may stream.
	Streams bool `json:"streams,omitempty"`
	// MaxResultBytes limits the size of the stage's result.
	MaxResultBytes int64 `json:"maxResultBytes"`
}

// Warmup returns the duration of the runner's cold start.
func (r Runner) Warmup() time.Duration {
	return time.Duration(r.WarmupMillis) * time.Millisecond
}

// Deadline returns the default deadline, for requests that set none.
func (p Pipeline) Deadline() time.Duration {
	return time.Duration(p.DeadlineMillis) * time.Millisecond
}

// MaxDeadline returns the longest deadline that a request may set.
func (p Pipeline) MaxDeadline() time.Duration {
	return time.Duration(p.MaxDeadlineMillis) * time.Millisecond
}

// Idempotent reports whether all stages are idempotent, so that the whole
// pipeline may be retried.
func (p Pipeline) Idempotent() bool {
	for _, s := range p.Stages {
		if !s.Idempotent {
			return false
		}
	}
	return true
}

// WithVersion returns a shallow copy of b with version v.
func (b Bundle) WithVersion(v uint64) Bundle {
	b.Version = v
	return b
}

// Digest returns the hex-encoded SHA-256 of the bundle's JSON with the version
// set to zero, so that a sign-off covers the content and not its version number.
func (b Bundle) Digest() (string, error) {
	data, err := json.Marshal(b.WithVersion(0))
	if err != nil {
		return "", eris.Wrap(err, "encode bundle")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// HashKey returns the hash under which Team.KeyHashes stores an API key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
