package jobstore

// TaskSet is a set of tasks. It has a bitmap of task indexes for each step, so that
// a step with many tasks fits into a row.
type TaskSet [][]byte

const bitsPerByte = 8

func (s *TaskSet) Add(step, index int) {
	for len(*s) <= step {
		*s = append(*s, nil)
	}
	offset := index / bitsPerByte
	for len((*s)[step]) <= offset {
		(*s)[step] = append((*s)[step], 0)
	}
	(*s)[step][offset] |= 1 << (index % bitsPerByte)
}

// Has reports whether the task is in the set.
func (s TaskSet) Has(step, index int) bool {
	offset := index / bitsPerByte
	return step < len(s) && offset < len(s[step]) && s[step][offset]&(1<<(index%bitsPerByte)) != 0
}
