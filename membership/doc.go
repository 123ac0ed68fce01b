// Package membership maintains this entry's session in the table, monitors the
// sessions of the other entries, and commits the changes of ownership that package
// ownership plans. It owns the rows sessions/, fences/ and assignment.
package membership
