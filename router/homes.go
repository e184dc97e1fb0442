package main

import (
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/ledger"
	"cicadawell.dev/router/roster"
)

// homes tells the ledger who is home.
type homes struct {
	roster roster.Roster
	clk    clock.Clock
}

// View returns the view that this instance knows.
func (h homes) View() ledger.View {
	s := h.roster.State()
	return ledger.View{Epoch: s.View.Epoch, Members: ids(s.View.Members), Since: s.EffectiveAt}
}

// Check returns nil while this instance may act in the view of this epoch.
func (h homes) Check(epoch uint64) error {
	s := h.roster.State()
	if s.View.Epoch != epoch || !s.Effective || !s.Holds(h.clk.Now()) {
		return fault.New(fault.HomeUnsettled, "the view of epoch %d is not held", epoch)
	}
	return nil
}
