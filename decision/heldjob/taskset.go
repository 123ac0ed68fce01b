package heldjob

// taskSet is a set of the indexes of a step's tasks.
type taskSet []uint64

const wordBits = 64

// newTaskSet returns an empty set of indexes below count.
func newTaskSet(count int) taskSet { return make(taskSet, (count+wordBits-1)/wordBits) }

func (s taskSet) add(index int) { s[index/wordBits] |= 1 << (index % wordBits) }

func (s taskSet) has(index int) bool { return s[index/wordBits]&(1<<(index%wordBits)) != 0 }
