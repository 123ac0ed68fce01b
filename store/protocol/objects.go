package protocol

// PutRequest stores an object; its body is base64 in JSON.
type PutRequest struct {
	Name string `json:"name"`
	Body []byte `json:"body"`
}

// ObjectRequest names one object.
type ObjectRequest struct {
	Name string `json:"name"`
}

// ObjectReply holds the body of an object.
type ObjectReply struct {
	Body []byte `json:"body"`
}

// ListObjectsRequest asks for names of objects.
type ListObjectsRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// ListObjectsReply holds names in ascending order.
type ListObjectsReply struct {
	Names []string `json:"names"`
}

// EmptyReply is the reply to a write that returns nothing.
type EmptyReply struct{}
