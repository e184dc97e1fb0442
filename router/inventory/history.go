package inventory

import "slices"

// maxHistory bounds the changes that are kept for other instances. Instances
// that need older ones get a snapshot.
const maxHistory = 1024

// mark is a position in an instance's history. Marks of different epochs can't
// be compared.
type mark struct {
	Epoch int64 `json:"epoch"`
	Count int64 `json:"count"`
}

// history holds the latest changes in the order in which the instance received
// them. It has one configuration at most, since configurations are large: a newer one
// leaves a change without effect in place of the older one. A removal is added when it is received, even if it is held back; nothing
// is added when it is applied later. It is not safe for concurrent use.
type history struct {
	epoch int64
	// count is the number of changes added in this epoch.
	count   int64
	changes []Change
}

// add appends changes.
func (h *history) add(changes []Change) {
	h.count += int64(len(changes))
	for _, c := range changes {
		if c.Table != nil {
			h.dropTables()
		}
		h.changes = append(h.changes, c)
	}
	if surplus := len(h.changes) - maxHistory; surplus > 0 {
		h.changes = slices.Delete(h.changes, 0, surplus)
	}
}

// dropTables removes the configurations. Who asks for these changes gets the newer one
// that follows.
func (h *history) dropTables() {
	for i := range h.changes {
		h.changes[i].Table = nil
	}
}

// restart begins a new epoch, which invalidates all earlier marks.
func (h *history) restart() {
	h.epoch++
	h.count, h.changes = 0, nil
}

func (h *history) mark() mark { return mark{Epoch: h.epoch, Count: h.count} }

// since returns the changes after a mark, or false if they are no longer all
// held.
func (h *history) since(m mark) ([]Change, bool) {
	missing := h.count - m.Count
	if m.Epoch != h.epoch || missing < 0 || missing > int64(len(h.changes)) {
		return nil, false
	}
	return slices.Clone(h.changes[len(h.changes)-int(missing):]), true
}
