package standin

// Counts holds the numbers of requests received since the start, refused and
// unanswered ones included.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// TableReads, TableWrites, ObjectReads and ObjectWrites add up to Reads
	// and Writes.
	TableReads   int64 `json:"tableReads"`
	TableWrites  int64 `json:"tableWrites"`
	ObjectReads  int64 `json:"objectReads"`
	ObjectWrites int64 `json:"objectWrites"`
	// Conflicts counts the commits answered with a conflict.
	Conflicts int64 `json:"conflicts"`
}
