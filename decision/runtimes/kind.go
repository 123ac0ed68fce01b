package runtimes

import (
	"slices"
	"strings"

	"github.com/figring/figring/session"
)

// kindOf returns the kind of a minion: its service and its labels except its rack.
func kindOf(minion *session.Minion) string {
	var labels []string
	for _, label := range minion.Labels {
		if !isRack(label) {
			labels = append(labels, label)
		}
	}
	slices.Sort(labels)
	return minion.Service + " " + strings.Join(labels, ",")
}

// isRack reports whether the label names a rack: r and digits separated by dashes.
func isRack(label string) bool {
	digits, ok := strings.CutPrefix(label, "r")
	return ok && strings.ContainsAny(digits, "0123456789") && strings.Trim(digits, "0123456789-") == ""
}
