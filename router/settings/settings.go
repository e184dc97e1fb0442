// Package settings reads the settings of a router at startup from a file of JSON
// with comments. All other configuration comes from the bundle in force.
package settings

import (
	"time"

	"cicadawell.dev/fleet/config"
)

// Settings are the settings of one router. They are immutable after Read.
type Settings struct {
	// ID is the instance's identifier, unique in the fleet. A replacement
	// of the instance gets a new one.
	ID string `json:"id"`
	// Zone is the availability zone of the instance.
	Zone string `json:"zone"`
	// Region may be empty in a fleet of one region.
	Region string `json:"region"`
	Listen Listen `json:"listen"`
	// Advertise is the address at which other instances reach this one. If
	// it is empty, the address that listen.instances was bound to is used.
	Advertise string     `json:"advertise"`
	Platform  Platform   `json:"platform"`
	Operators []Operator `json:"operators"`
	// StopGraceMillis is the time limit of a graceful shutdown. It should
	// be longer than the sum of the longest deadline and the lag of the
	// platform's list of instances.
	StopGraceMillis int64 `json:"stopGraceMillis"`
	// BalancerLagMillis is how long the platform's load balancer may
	// continue to send callers to an instance after the instance has
	// announced that it is leaving.
	BalancerLagMillis int64 `json:"balancerLagMillis"`
	// Policy is empty for the default, or one of the baseline policies
	// for comparisons.
	Policy Policy `json:"policy"`
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string `json:"logLevel"`
}

// Policy is the name of a method of choosing runners and admitting work.
type Policy string

// The policies. Those after the first are baselines for comparisons.
const (
	PolicyDefault       Policy = ""
	PolicyRoundRobin    Policy = "roundRobin"
	PolicyLeastReported Policy = "leastReported"
	PolicyNoAdmission   Policy = "noAdmission"
	PolicyNoBudgets     Policy = "noBudgets"
)

var policies = []Policy{PolicyDefault, PolicyRoundRobin, PolicyLeastReported, PolicyNoAdmission, PolicyNoBudgets}

// Listen holds the addresses to listen on, each an IP address with a port. Port
// 0 lets the operating system choose the port.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Instances string `json:"instances"`
}

// Platform holds the addresses of the platform's services, each an IP address
// with a port.
type Platform struct {
	Store     string `json:"store"`
	Instances string `json:"instances"`
	Weights   string `json:"weights"`
}

// Operator is a person or program that may use the operator API. Every operator
// has read access.
type Operator struct {
	Name string `json:"name"`
	// KeyHash is the SHA-256 hash of the operator's API key, in hex.
	KeyHash string `json:"keyHash"`
	// MayWrite allows the operator to write and roll bundles, and to take
	// zones and runners out and in.
	MayWrite bool `json:"mayWrite"`
	// MayApprove allows the operator to sign off bundles.
	MayApprove bool `json:"mayApprove"`
}

// Defaults returns the settings that apply where the file has no value.
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

// StopGrace returns the time limit of a graceful shutdown.
func (s Settings) StopGrace() time.Duration {
	return time.Duration(s.StopGraceMillis) * time.Millisecond
}

// BalancerLag returns how long the load balancer may continue to send callers to
// a leaving instance.
func (s Settings) BalancerLag() time.Duration {
	return time.Duration(s.BalancerLagMillis) * time.Millisecond
}
