package jobstore

import (
	"encoding/base64"

	"github.com/figring/figring/work"
)

// ErrTooLarge means that a job can't be stored within the limits of the table.
var ErrTooLarge = Error.New("job is too large to be stored")

// Limits are the bounds of the platform's table.
type Limits struct {
	// RowBytes is the maximum size of the value of a row.
	RowBytes int
}

const (
	// maxTxnOps is the maximum number of conditions and writes in one
	// transaction. The platform's table rejects larger ones.
	maxTxnOps = 100
	// maxTxnBytes bounds the estimated encoded size of a transaction. The platform's
	// table accepts 1 MB.
	maxTxnBytes = 900_000
	// opOverhead is the estimated encoded size of a condition or write without its key
	// and value.
	opOverhead = 160
	// progressOverhead is the maximum encoded size of a Progress without tasks.
	progressOverhead = 2 << 10
)

// valueBytes returns the maximum size of a value. A value of that size fits too if the
// limit of the table applies to the base64 form in which values are sent.
func (l Limits) valueBytes() int { return base64.StdEncoding.DecodedLen(l.RowBytes) }

// fitsProgress reports whether the done tasks and failures of a job fit into its row at any
// time.
func (l Limits) fitsProgress(job *work.Job, attempts int) bool {
	perSet := 0
	for _, step := range job.Steps {
		perSet += base64.StdEncoding.EncodedLen((step.Count+bitsPerByte-1)/bitsPerByte) + len(`"",`)
	}
	sets := 1 + max(attempts, 1)
	return progressOverhead+sets*perSet <= l.valueBytes()
}

// txnBytes returns the estimated encoded size of the change in a transaction.
func (c *Change) txnBytes() int {
	size := 0
	for _, condition := range c.conditions {
		size += opOverhead + len(condition.Key)
	}
	for _, write := range c.writes {
		size += opOverhead + len(write.Key) + base64.StdEncoding.EncodedLen(len(write.Value))
	}
	return size
}

// fitsTxn reports whether the change fits into one transaction.
func (c *Change) fitsTxn() bool { return c.opCount() <= maxTxnOps && c.txnBytes() <= maxTxnBytes }
