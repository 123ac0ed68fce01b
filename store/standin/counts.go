package standin

// Counts holds the numbers of requests received since the server started. They
// include requests that were rejected or got no reply.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// TableReads and ObjectReads add up to Reads. TableWrites and ObjectWrites
	// add up to Writes.
	TableReads   int64 `json:"tableReads"`
	TableWrites  int64 `json:"tableWrites"`
	ObjectReads  int64 `json:"objectReads"`
	ObjectWrites int64 `json:"objectWrites"`
	// Conflicts is the number of commits that failed with a conflict.
	Conflicts int64 `json:"conflicts"`
}
