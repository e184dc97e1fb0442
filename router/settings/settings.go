// Package settings holds what a router learns at its start from a file of JSON
// with comments. Everything else comes from the bundle in force.
package settings

import (
	"time"

	"cicadawell.dev/fleet/config"
)

// Settings are those of one router. They are immutable after Read.
type Settings struct {
	// ID is unique in the fleet; a replacement gets a new one.
	ID string `json:"id"`
	// Zone is the availability zone that the instance stands in.
	Zone string `json:"zone"`
	// Region may be empty in a fleet of one region.
	Region string `json:"region"`
	Listen Listen `json:"listen"`
	// Advertise is where other instances reach this one. When it is empty
	// the address that listen.instances was bound to is used.
	Advertise string     `json:"advertise"`
	Platform  Platform   `json:"platform"`
	Operators []Operator `json:"operators"`
	// StopGraceMillis bounds a graceful shutdown. It is longer than the
	// longest deadline and the lag of the platform's list together.
	StopGraceMillis int64 `json:"stopGraceMillis"`
	// BalancerLagMillis is how long the platform's balancer may go on
	// sending callers to an instance that has said that it leaves.
	BalancerLagMillis int64 `json:"balancerLagMillis"`
	// Policy is empty, or one of the policies that comparisons use.
	Policy Policy `json:"policy"`
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string `json:"logLevel"`
}

// Policy names a way to choose runners and to admit work.
type Policy string

// The policies. Those after the first serve comparisons.
const (
	PolicyDefault       Policy = ""
	PolicyRoundRobin    Policy = "roundRobin"
	PolicyLeastReported Policy = "leastReported"
	PolicyNoAdmission   Policy = "noAdmission"
	PolicyNoBudgets     Policy = "noBudgets"
)

var policies = []Policy{PolicyDefault, PolicyRoundRobin, PolicyLeastReported, PolicyNoAdmission, PolicyNoBudgets}

// Listen has the addresses to listen at, each an IP address with a port. Port 0
// leaves the choice of the port to the system.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Instances string `json:"instances"`
}

// Platform has the addresses of the platform's services, each an IP address
// with a port.
type Platform struct {
	Store     string `json:"store"`
	Instances string `json:"instances"`
	Weights   string `json:"weights"`
}

// Operator is someone who may use the interface for operators. Every operator
// may read.
type Operator struct {
	Name string `json:"name"`
	// KeyHash is the hex SHA-256 hash of the operator's key.
	KeyHash string `json:"keyHash"`
	// MayWrite lets the operator write and roll bundles, and take zones and
	// runners out and in.
	MayWrite bool `json:"mayWrite"`
	// MayApprove lets the operator sign bundles off.
	MayApprove bool `json:"mayApprove"`
}

// Defaults returns the values of the fields that a file may leave out.
func Defaults() Settings {
	return Settings{
		StopGraceMillis:   660_000,
		BalancerLagMillis: 3_000,
		LogLevel:          "info",
	}
}

// Read reads and checks the settings file at path. The error names every bad
// field.
func Read(path string) (Settings, error) { return config.Read(path, Defaults()) }

// StopGrace returns the bound on a graceful shutdown.
func (s Settings) StopGrace() time.Duration {
	return time.Duration(s.StopGraceMillis) * time.Millisecond
}

// BalancerLag returns how long the balancer may lag.
func (s Settings) BalancerLag() time.Duration {
	return time.Duration(s.BalancerLagMillis) * time.Millisecond
}
