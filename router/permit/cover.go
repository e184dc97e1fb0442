package permit

import "slices"

// Cover is what an instance knows of the view in effect: the last settled one
// and those that were announced since. It is immutable, and its zero value
// covers nothing.
//
// The agreement on views has to guarantee that no two instances have
// different settled views at the same time. Then the shares in use add up to
// the slots at most: those of one view are all taken from it, or from the
// smallest of several that include it.
type Cover struct {
	views []View
	// lost is set when a view may be in effect that this instance has not
	// seen; it then has no share until a view is settled.
	lost bool
}

// With returns the cover after the view v was seen. An unsettled view that is
// not one change away from the view before it means that views were missed,
// or that nothing is known of the next one.
func (c Cover) With(v View, settled bool) Cover {
	if settled {
		return Cover{views: []View{v}}
	}
	if c.lost || len(c.views) == 0 {
		return Cover{lost: true}
	}
	last := c.views[len(c.views)-1]
	if n := last.changes(v); n != 1 {
		// The announced view may be told again.
		return Cover{views: c.views, lost: n > 1 || len(c.views) == 1}
	}
	return Cover{views: append(slices.Clip(c.views), v)}
}

// Share returns the smallest of the shares that the covered views give.
func (c Cover) Share(runner string, slots int) int {
	if c.lost || len(c.views) == 0 {
		return 0
	}
	share := slots
	for _, v := range c.views {
		share = min(share, v.Share(runner, slots))
	}
	return share
}
