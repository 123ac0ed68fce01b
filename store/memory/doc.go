// Package memory implements the table service and the object store in the memory
// of one process. A lock in each service makes its operations atomic, so both
// services are linearizable. The data is lost when the process exits.
package memory
