package protocol

// The paths of the two services. Every request is a POST.
const (
	PathTableGet      = "/v1/table/get"
	PathTableList     = "/v1/table/list"
	PathTableCommit   = "/v1/table/commit"
	PathObjectsPut    = "/v1/objects/put"
	PathObjectsGet    = "/v1/objects/get"
	PathObjectsList   = "/v1/objects/list"
	PathObjectsDelete = "/v1/objects/delete"
)

// MaxBodyBytes bounds the body of a request and of a reply, in bytes.
const MaxBodyBytes = 64 << 20
