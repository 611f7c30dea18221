package node

import (
	"github.com/chiveramp/chiveramp/internal/caller"
	"github.com/chiveramp/chiveramp/internal/core/member"
)

// maxEntries is the maximum number of instance addresses returned to a caller.
const maxEntries = 3

// Entries implements caller.Fleet.
func (n *Node) Entries(_, key string) []caller.Entry {
	self := n.members.Self()
	found := readView(n.members, func(v *member.View) []member.Peer { return v.Entries(self.Place, key, maxEntries+1) })
	entries := make([]caller.Entry, 0, len(found))
	for _, p := range found {
		address := n.announcedAddress(p)
		if address != "" && len(entries) < maxEntries {
			entries = append(entries, caller.Entry{
				Address: address, Region: p.Place.Region, DataCentre: p.Place.DataCentre, Instance: p.Instance,
			})
		}
	}
	return entries
}

// Models implements caller.Fleet. Without a profile all models are listed.
func (n *Node) Models(name string) []string {
	document, _ := n.Profiles()
	profile, restricted := document.Profile(name)
	var names []string
	for _, m := range document.Models() {
		if !restricted || profile.MayUse(m.Name) {
			names = append(names, m.Name)
		}
	}
	return names
}
