package schedules

// address is where a sidecar listens: whichever incarnation runs under the name
// when a message arrives takes it.
type address struct {
	w    *world
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
