// Package tlsconf builds TLS configurations from the PEM files named in the
// settings.
package tlsconf
