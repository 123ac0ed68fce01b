// Package problem writes refusals as application/problem+json (RFC 9457).
package problem
