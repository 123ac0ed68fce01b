// Package answers keeps the terminal answers of an entry's jobs beyond the
// entry's life. Answers are written behind: many of them share one object, and
// one row of the table lists the hashes of their keys. A resubmission after the
// entry is gone, or after it dropped the answer from its memory, then gets the
// same answer again.
//
// An answer that was given in the moment before its entry died may be missing
// here. Whoever looks for it then asks the sidecars.
package answers
