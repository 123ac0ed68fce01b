package protocol

import "github.com/figring/figring/store"

// Row is a store.Row; its value is base64 in JSON.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
}

// GetRequest asks for one row.
type GetRequest struct {
	Key string `json:"key"`
}

// ListRequest asks for a page of rows.
type ListRequest struct {
	Prefix string `json:"prefix"`
	From   string `json:"from"`
	Limit  int    `json:"limit"`
}

// ListReply holds a page of rows.
type ListReply struct {
	Rows []Row  `json:"rows"`
	Next string `json:"next"`
}

// Condition is a store.Condition.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write is a store.Write.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Delete bool   `json:"delete"`
}

// CommitRequest asks for a transaction.
type CommitRequest struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// CommitReply holds the version of each written row, in order of the writes.
type CommitReply struct {
	Versions []int64 `json:"versions"`
}

// NewCommitRequest returns the message for txn.
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

// Txn returns the transaction of the message.
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

// NewListReply returns the message for page.
func NewListReply(page store.Page) ListReply {
	reply := ListReply{Next: page.Next}
	for _, row := range page.Rows {
		reply.Rows = append(reply.Rows, Row(row))
	}
	return reply
}

// Page returns the page of the message.
func (r ListReply) Page() store.Page {
	page := store.Page{Next: r.Next}
	for _, row := range r.Rows {
		page.Rows = append(page.Rows, store.Row(row))
	}
	return page
}
