// Package model holds the value types that every role of figring shares:
// identities, work as callers submit it, answers, and the outcomes that a
// caller may be told. It has no behaviour beyond validation and formatting.
package model
