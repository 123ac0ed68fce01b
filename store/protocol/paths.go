package protocol

// The paths of the table service and of the object store. Every request uses
// the POST method.
const (
	PathTableGet      = "/v1/table/get"
	PathTableList     = "/v1/table/list"
	PathTableCommit   = "/v1/table/commit"
	PathObjectsPut    = "/v1/objects/put"
	PathObjectsGet    = "/v1/objects/get"
	PathObjectsList   = "/v1/objects/list"
	PathObjectsDelete = "/v1/objects/delete"
)

// MaxBodyBytes is the maximum size of the body of a request or a reply.
const MaxBodyBytes = 64 << 20
