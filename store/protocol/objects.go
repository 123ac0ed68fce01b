package protocol

// PutRequest asks to store an object. JSON encodes Body as base64.
type PutRequest struct {
	Name string `json:"name"`
	Body []byte `json:"body"`
}

// ObjectRequest asks to get or delete the object with the name.
type ObjectRequest struct {
	Name string `json:"name"`
}

// ObjectReply is the reply to a request for an object.
type ObjectReply struct {
	Body []byte `json:"body"`
}

// ListObjectsRequest asks for at most Limit object names that have the prefix
// and are greater than After.
type ListObjectsRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// ListObjectsReply holds object names in ascending order.
type ListObjectsReply struct {
	Names []string `json:"names"`
}

// EmptyReply is the reply to a successful Put or Delete of an object.
type EmptyReply struct{}
