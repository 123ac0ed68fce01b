// Package standin serves a table service and an object store over HTTP, in the
// place of the platform's own. Contents are kept in memory.
//
// # Protocol
//
// Every request of the two services is a POST with a JSON body, so that no
// client library replays it unasked. Byte strings are base64.
//
//	POST /v1/table/get      {"key":K}                      -> {"key":K,"value":B,"version":N}
//	POST /v1/table/list     {"prefix":P,"from":K,"limit":N} -> {"rows":[...],"next":K}
//	POST /v1/table/commit   {"conditions":[{"key":K,"version":N}],
//	                         "writes":[{"key":K,"value":B,"delete":false}]}
//	                                                        -> {"versions":[N]}
//	POST /v1/objects/put    {"name":S,"body":B}             -> {}
//	POST /v1/objects/get    {"name":S}                      -> {"body":B}
//	POST /v1/objects/list   {"prefix":P,"after":S,"limit":N} -> {"names":[S]}
//	POST /v1/objects/delete {"name":S}                      -> {}
//
// A condition of version 0 holds when the row is absent. A deletion has version
// 0 in the reply. "next" is empty at the end of a listing.
//
// Any status but 200 has a body {"code":C,"detail":S}:
//
//	400 invalid      the request can never succeed
//	404 not_found    there is no such row or object
//	409 conflict     a condition did not hold, nothing was written
//	503 unavailable  the request had no effect
//
// A connection that is closed without a reply leaves the outcome of a write
// unknown, and so does any other status.
//
// # Control
//
//	GET /control/faults    the settings in force, see fault.Settings
//	PUT /control/faults    replaces them; an omitted field returns to the value
//	                       that the server was started with
//	GET /control/counters  the requests received since the start, see Counts
package standin
