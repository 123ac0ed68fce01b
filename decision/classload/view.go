package classload

import "time"

// View is what decides on the jobs of a class.
type View struct {
	Stats
	// Usable is the capacity of the service that is used without long queues, in
	// thousandths of a core.
	Usable float64
	// Scarce means that the demand of all classes exceeds Usable, Fallback that no sidecar
	// tells the demand.
	Scarce, Fallback bool
	// Age is the time since the capacity was last divided.
	Age time.Duration
}

// View returns what decides on the jobs of a class; nil for one that is not tracked.
func (t *Tracker) View(now time.Time, class Class) *View {
	state, ok := t.classes[class]
	if !ok || t.refreshedAt.IsZero() {
		return nil
	}
	service := t.services[class.Service]
	return &View{
		Stats:  state.stats(now),
		Usable: service.usable,
		Scarce: service.scarce, Fallback: service.fallback,
		Age: now.Sub(t.refreshedAt),
	}
}
