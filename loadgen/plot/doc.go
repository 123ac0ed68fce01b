// Package plot renders a load run as a PNG chart.
package plot
