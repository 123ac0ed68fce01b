// Package tlsconf makes TLS configurations from PEM files named in settings.
package tlsconf
