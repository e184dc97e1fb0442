package permit

import "slices"

// ActiveViews holds the views that may be in effect: the last view known to be in
// effect and the pending ones seen since. It is immutable. The zero value has no
// view and gives no share.
//
// The membership protocol must guarantee that no two instances have different
// views known to be in effect at the same time. Then the shares in use add up to
// at most the slots: each instance uses its share in the common view, or the
// smallest of its shares in several views that include the common one.
type ActiveViews struct {
	views []View
	// viewsMissed is true if a view may be in effect that this instance has not
	// seen. It then has no share until it sees a view that is in effect.
	viewsMissed bool
}

// With returns the views after v was seen; effective is true if v is known to be
// in effect. A pending view must differ from the last view by one member. If it
// differs by more, views were missed; if it repeats the view that was in effect,
// the next view is not known yet. Either way there is no share until a view is in
// effect.
func (c ActiveViews) With(v View, effective bool) ActiveViews {
	if effective {
		return ActiveViews{views: []View{v}}
	}
	if c.viewsMissed || len(c.views) == 0 {
		return ActiveViews{viewsMissed: true}
	}
	last := c.views[len(c.views)-1]
	if n := last.symmetricDifference(v); n != 1 {
		// The same pending view may be reported repeatedly.
		return ActiveViews{views: c.views, viewsMissed: n > 1 || len(c.views) == 1}
	}
	return ActiveViews{views: append(slices.Clip(c.views), v)}
}

// Share returns the smallest of this instance's shares in the views.
func (c ActiveViews) Share(runner string, slots int) int {
	if c.viewsMissed || len(c.views) == 0 {
		return 0
	}
	share := slots
	for _, v := range c.views {
		share = min(share, v.Share(runner, slots))
	}
	return share
}
