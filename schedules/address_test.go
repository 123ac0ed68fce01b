package schedules

// address is the network address of a sidecar. A message to it is handled by the
// incarnation that runs under the name when the message arrives.
type address struct {
	w    *simulation
	name string
}

func (a *address) sidecar() *sidecar {
	for _, one := range a.w.sidecars {
		if one.name == a.name {
			return one
		}
	}
	return nil
}

func (a *address) alive() bool { return a.sidecar().alive() }
func (a *address) awake() bool { return a.sidecar().awake() }
