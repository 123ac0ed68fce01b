// Package model defines the value types that all roles of figring share:
// identities, submitted work, answers, and the outcomes reported to callers. It
// has no behaviour beyond validation, hashing and formatting.
package model
