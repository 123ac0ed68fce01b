package schedules

import "time"

// stepOrphan makes another entry take over a job while a message of its first
// owner is delayed. Permits, the wait before a takeover and the proof of absence
// protect against this sequence. The key, the delayed kind of message, the fault
// and the waiting time are drawn.
func (w *simulation) stepOrphan() {
	key := w.keys[w.draw(len(w.keys), "key")]
	owner := w.entryOf(w.decodeAssignment(w.table.read(assignmentKey)).Partitions[key.Partition()].Owner)
	if owner == nil {
		return
	}
	w.slow = lateKinds[w.draw(len(lateKinds), "slow")]
	w.submit(key, owner)
	w.calm(50 * time.Millisecond)
	w.slow = ""
	if w.draw(2, "end") == 0 {
		owner.ended = true
	}
	owner.paused = !owner.ended
	if w.draw(3, "replace") == 0 {
		w.stepEndSidecar()
	}
	for range 2 + w.draw(7, "turns") {
		w.calm(900 * time.Millisecond)
	}
	w.stepSubmitToOwner()
	w.submit(key, w.drawEntry())
	w.calm(50 * time.Millisecond)
	w.stepThaw()
	w.calm(50 * time.Millisecond)
}
