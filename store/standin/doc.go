// Package standin serves a replacement for the platform's table service and object
// store over HTTP. It keeps the data in memory.
//
// # Protocol
//
// Every request of the two services is a POST with a JSON body, because HTTP client
// libraries do not automatically retry a POST. Byte strings are base64.
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
// A condition with version 0 holds if the row does not exist. In the reply to a
// commit a deletion has version 0. "next" is empty on the last page of a listing.
//
// An error reply has the body {"code":C,"detail":S} and one of these statuses:
//
//	400 invalid      the request is malformed, so that a retry cannot succeed
//	404 not_found    the row or object does not exist
//	409 conflict     a condition did not hold and nothing was written
//	503 unavailable  the request had no effect
//
// The outcome of a write is unknown if the connection is closed without a reply, or
// if the reply has a status other than 200 and the ones above.
//
// # Control
//
//	GET /control/faults    returns the current fault.Settings
//	PUT /control/faults    replaces the settings; an omitted field is reset to the
//	                       value with which the server was started
//	GET /control/counters  returns the number of requests since the start as Counts
package standin
