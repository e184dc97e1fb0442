package pool

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestEveryRunnerIsUsedBySeveralInstances(t *testing.T) {
	for _, runners := range []int{10, 150, 1500} {
		for _, instances := range []int{1, 5, 30, 450} {
			t.Run(fmt.Sprint(runners, " runners ", instances, " instances"), func(t *testing.T) {
				is := is.New(t)
				list := make([]*runner, runners)
				for i := range list {
					list[i] = newRunner(makeRunners(1, 1, 1)[0])
				}
				uses := map[*runner]int{}
				most := 0
				for i := range instances {
					chosen := subset(list, defaultSubsetSize, i, instances)
					most = max(most, len(chosen))
					for _, r := range chosen {
						uses[r]++
					}
				}
				for _, r := range list {
					// One instance less than intended is accepted.
					is.True(uses[r] >= min(instances, minInstancesPerRunner)-1)
				}
				is.True(most <= max(2*defaultSubsetSize, 2*minInstancesPerRunner*runners/instances))
			})
		}
	}
}
