// Package plot draws a load run as a picture.
package plot
