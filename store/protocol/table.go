package protocol

import "github.com/figring/figring/store"

// Row is the JSON form of store.Row, with Value encoded as base64.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
}

// GetRequest asks for the row with the key.
type GetRequest struct {
	Key string `json:"key"`
}

// ListRequest asks for at most Limit rows whose keys have the prefix and are not
// less than From.
type ListRequest struct {
	Prefix string `json:"prefix"`
	From   string `json:"from"`
	Limit  int    `json:"limit"`
}

// ListReply holds a page of rows. Next is the key at which the following page
// starts, or empty after the last page.
type ListReply struct {
	Rows []Row  `json:"rows"`
	Next string `json:"next"`
}

// Condition is the JSON form of store.Condition.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write is the JSON form of store.Write.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Delete bool   `json:"delete"`
}

// CommitRequest asks to commit a transaction.
type CommitRequest struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// CommitReply holds the version of each written row in the order of the writes,
// with 0 for a deletion.
type CommitReply struct {
	Versions []int64 `json:"versions"`
}

// NewCommitRequest converts txn to a request.
func NewCommitRequest(txn store.Txn) CommitRequest {
	var request CommitRequest
	for _, condition := range txn.Conditions {
		request.Conditions = append(request.Conditions, Condition(condition))
	}
	for _, write := range txn.Writes {
		request.Writes = append(request.Writes, Write(write))
	}
	return request
}

// Txn converts the request to a store.Txn.
func (r CommitRequest) Txn() store.Txn {
	var txn store.Txn
	for _, condition := range r.Conditions {
		txn.Conditions = append(txn.Conditions, store.Condition(condition))
	}
	for _, write := range r.Writes {
		txn.Writes = append(txn.Writes, store.Write(write))
	}
	return txn
}

// NewListReply converts page to a reply.
func NewListReply(page store.Page) ListReply {
	reply := ListReply{Next: page.Next}
	for _, row := range page.Rows {
		reply.Rows = append(reply.Rows, Row(row))
	}
	return reply
}

// Page converts the reply to a store.Page.
func (r ListReply) Page() store.Page {
	page := store.Page{Next: r.Next}
	for _, row := range r.Rows {
		page.Rows = append(page.Rows, store.Row(row))
	}
	return page
}
