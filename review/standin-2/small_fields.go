package main

import (
	"fmt"
	"time"
)

// smallFields has clients send requests with many small header fields, which are within the
// limits together.
func smallFields(c *context) (int, error) {
	mc := memoryCase{
		engineServices: 1, engines: 24, first: 1500 * time.Millisecond, workers: 700, length: 75 * time.Second,
		header: func(int, int) [][2]string {
			header := ordinaryHeader()
			for n := range 1900 {
				header = append(header, [2]string{fmt.Sprintf("x%03x", n), ""})
			}
			return header
		},
	}
	return mc.run(c)
}
