package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// promptParts has clients send prompts of many parts of one token each, all of them new. Their
// headers are within the limits.
func promptParts(c *context) (int, error) {
	var next atomic.Int64
	mc := memoryCase{
		engineServices: 8, engines: 8, first: 5 * time.Millisecond, workers: 24, length: 75 * time.Second,
		header: func(int, int) [][2]string {
			const parts = 1700
			var b strings.Builder
			for range parts {
				fmt.Fprintf(&b, "%06x:1,", next.Add(1))
			}
			return [][2]string{{"Token-Counts", fmt.Sprintf("%d,30", parts+20)}, {"Prompt-Prefix", b.String() + newID()[:8] + ":20"}}
		},
	}
	return mc.run(c)
}
