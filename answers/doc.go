// Package answers stores the terminal answers of an entry's jobs, so that they
// outlive the entry. Answers are written asynchronously in batches: the answers
// of a batch share one object, and one row of the table lists the hashes of
// their keys. A resubmission that arrives after the entry has stopped, or has
// evicted the answer from memory, then gets the same answer again.
//
// An answer that was returned just before its entry crashed may be missing from
// the store. The entry that looks for the answer then asks the sidecars.
package answers
