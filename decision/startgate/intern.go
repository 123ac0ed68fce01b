package startgate

// maxInterned is the size at which the table is cleared and filled again.
const maxInterned = 1024

// internTable interns strings that arrive with every message, such as the names
// of callers and entries, so that all records share one copy.
type internTable map[string]string

func (n internTable) intern(text string) string {
	if shared, known := n[text]; known {
		return shared
	}
	if len(n) >= maxInterned {
		clear(n)
	}
	n[text] = text
	return text
}
