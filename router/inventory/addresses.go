package inventory

import "cicadawell.dev/router/instance"

// AddressBook takes the addresses of all instances by their names.
type AddressBook interface {
	SetAddresses(addresses map[string]string)
}

// FollowInstances keeps the addresses in book up to date with the registrations of
// instances. The seeds are addresses that are used until they are registered.
func FollowInstances(current *Current, book AddressBook, seeds []string) {
	addresses := make(map[string]string, len(seeds))
	for _, address := range seeds {
		addresses[instance.IDForAddress(address)] = address
	}
	book.SetAddresses(addresses)
	current.Subscribe(func(s *Snapshot) { book.SetAddresses(s.Addresses(addresses)) })
}
