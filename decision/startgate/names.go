package startgate

// nameLimit bounds the strings that are shared; beyond it all are let go and
// collected anew.
const nameLimit = 1024

// names shares the strings that come with every message, such as the names of
// callers and entries, among the records that hold them.
type names map[string]string

func (n names) share(name string) string {
	if held, known := n[name]; known {
		return held
	}
	if len(n) >= nameLimit {
		clear(n)
	}
	n[name] = name
	return name
}
