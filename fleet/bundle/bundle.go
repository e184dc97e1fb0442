// Package bundle holds the versioned configuration that operators write, sign
// off and roll: tiers, teams, availability zones, runners and pipelines.
package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Bundle is one configuration. Values are immutable once checked.
type Bundle struct {
	// Version is unique and only grows; zero means a draft without one.
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
	// Paying tiers go strictly before the others.
	Paying bool `json:"paying"`
}

// Team is a customer.
type Team struct {
	ID   string `json:"id"`
	Tier string `json:"tier"`
	// KeyHashes are the hex SHA-256 hashes of the team's API keys.
	KeyHashes []string `json:"keyHashes"`
	// RatePerSecond is the team's limit over all instances; zero means none.
	RatePerSecond float64 `json:"ratePerSecond,omitempty"`
	// Weight is the team's part among the teams of its tier; zero means 1.
	Weight float64 `json:"weight,omitempty"`
}

// Zone is an availability zone.
type Zone struct {
	ID     string `json:"id"`
	Region string `json:"region,omitempty"`
}

// Runner is a back end: a model engine, a member of a pool or a plain service.
type Runner struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Address is an IP address with a port.
	Address string `json:"address"`
	Service string `json:"service"`
	// Models are those that the runner has loaded; empty for services
	// without models.
	Models []string `json:"models,omitempty"`
	// Slots is how much work the runner bears at once when warm.
	Slots int `json:"slots"`
	// ColdSlots is how much it bears at once in cold start, over all
	// instances together; at least 1 and at most Slots.
	ColdSlots int `json:"coldSlots"`
	// WarmupMillis is how long a cold start lasts under bearable load.
	WarmupMillis int64 `json:"warmupMillis,omitempty"`
	// ReportsLoad tells whether its answers and reports carry its load.
	ReportsLoad bool `json:"reportsLoad,omitempty"`
	// ChecksFencing tells whether it refuses orders with an old fencing number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
}

// Pipeline is a kind of request.
type Pipeline struct {
	ID     string  `json:"id"`
	Stages []Stage `json:"stages"`
	// DeadlineMillis is the deadline where the request names none.
	DeadlineMillis int64 `json:"deadlineMillis"`
	// MaxDeadlineMillis is the longest deadline that a request may name.
	MaxDeadlineMillis int64 `json:"maxDeadlineMillis"`
	// MaxBodyBytes bounds the request's body.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
}

// Stage is one step of a pipeline.
type Stage struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Model   string `json:"model,omitempty"`
	// Idempotent stages may be tried again; only the last stage of a
	// pipeline may be without it.
	Idempotent bool `json:"idempotent"`
	// Streams tells that the runner sends its result in pieces.
	Streams bool `json:"streams,omitempty"`
	// MaxResultBytes bounds the stage's result.
	MaxResultBytes int64 `json:"maxResultBytes"`
}

// Warmup returns how long the runner's cold start lasts.
func (r Runner) Warmup() time.Duration {
	return time.Duration(r.WarmupMillis) * time.Millisecond
}

// Deadline returns the pipeline's deadline where the request names none.
func (p Pipeline) Deadline() time.Duration {
	return time.Duration(p.DeadlineMillis) * time.Millisecond
}

// MaxDeadline returns the longest deadline that a request may name.
func (p Pipeline) MaxDeadline() time.Duration {
	return time.Duration(p.MaxDeadlineMillis) * time.Millisecond
}

// Idempotent reports whether the whole pipeline may be run again.
func (p Pipeline) Idempotent() bool {
	for _, s := range p.Stages {
		if !s.Idempotent {
			return false
		}
	}
	return true
}

// WithVersion returns a copy with version v.
func (b Bundle) WithVersion(v uint64) Bundle {
	b.Version = v
	return b
}

// Digest returns the hex SHA-256 of the bundle's JSON without its version, so
// that a signature covers the content.
func (b Bundle) Digest() (string, error) {
	data, err := json.Marshal(b.WithVersion(0))
	if err != nil {
		return "", eris.Wrap(err, "encode bundle")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// HashKey returns the form in which a bundle holds an API key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
