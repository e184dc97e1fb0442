package pipeline

import (
	"github.com/cespare/xxhash/v2"
)

// prefixBytes is how many bytes at the start of a request's input select the
// runner whose prefix cache may contain it.
const prefixBytes = 256

// affinityOf returns a hash of the start of the input. It is scoped by team, so
// that no team can learn from timing what another team sent.
func affinityOf(job Job) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(job.Team.ID)
	_, _ = d.Write(job.Input[:min(len(job.Input), prefixBytes)])
	return d.Sum64()
}
