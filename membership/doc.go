// Package membership keeps this entry's session in the table, watches those of
// the others, and commits the changes of ownership that package ownership
// plans. It owns the sessions/, fences/ and assignment rows.
package membership
