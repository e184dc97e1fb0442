package inventory

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestHistory(t *testing.T) {
	is := is.New(t)
	h := &history{epoch: 7}
	begin := h.mark()
	h.add([]Change{{RemovedRunner: "a"}, {RemovedRunner: "b"}})
	middle := h.mark()
	h.add([]Change{{RemovedRunner: "c"}})
	all, ok := h.since(begin)
	is.True(ok)
	is.Equal(len(all), 3)
	some, ok := h.since(middle)
	is.True(ok)
	is.Equal(some, []Change{{RemovedRunner: "c"}})
	none, ok := h.since(h.mark())
	is.True(ok)
	is.Equal(len(none), 0)
	for name, m := range map[string]mark{"unknown": {}, "another epoch": {Epoch: 8}, "ahead": {Epoch: 7, Count: 4}} {
		_, ok := h.since(m)
		if ok {
			t.Errorf("%s: reported as complete", name)
		}
	}
	for i := range maxHistory {
		h.add([]Change{{RemovedRunner: fmt.Sprint(i)}})
	}
	_, ok = h.since(begin)
	is.True(!ok) // its first changes are dropped
	latest := h.mark()
	h.restart()
	_, ok = h.since(latest)
	is.True(!ok)
}
