// Package shard divides the runners of large services among several owners, by
// availability zone. It does no I/O.
package shard

// Shard is the part of a service's runners that one owner schedules: the runners
// in one zone, or all of them if Zone is empty.
type Shard struct {
	Service string `json:"service"`
	Zone    string `json:"zone,omitempty"`
}

// Whole returns the shard with all runners of a service.
func Whole(service string) Shard { return Shard{Service: service} }

// String returns the shard's key, which is unique among all shards.
func (s Shard) String() string {
	if s.Zone == "" {
		return s.Service
	}
	return s.Service + "/" + s.Zone
}
