package e2e

// separate freezes what passes between a sidecar and one entry, in both
// directions. What is under way arrives when the links are healed.
func (c *cluster) separate(sidecar, entry int) {
	c.sidecarLinks[sidecar].freeze(entryName(entry))
	c.entryLinks[entry].freeze(sidecarName(sidecar))
}

// healLinks ends every disturbance of every link.
func (c *cluster) healLinks() {
	for _, one := range append(append([]*link(nil), c.entryLinks...), c.sidecarLinks...) {
		one.heal()
	}
}
