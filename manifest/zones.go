package manifest

// Zones is the part of a snapshot that processes send each other without being asked.
type Zones struct {
	// Version is Snapshot.Version.
	Version int64
	// Evacuated is Snapshot.EvacuatedZones.
	Evacuated []string
}
