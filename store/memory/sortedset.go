package memory

import (
	"slices"
	"strings"
)

// sortedSet is a set of strings in ascending order.
type sortedSet struct {
	elements []string
}

func (s *sortedSet) add(element string) {
	index, found := slices.BinarySearch(s.elements, element)
	if !found {
		s.elements = slices.Insert(s.elements, index, element)
	}
}

func (s *sortedSet) remove(element string) {
	index, found := slices.BinarySearch(s.elements, element)
	if found {
		s.elements = slices.Delete(s.elements, index, index+1)
	}
}

// page returns at most limit elements that have the prefix and are not less than
// from. next is the first matching element that exceeds the limit, or empty.
func (s *sortedSet) page(prefix, from string, limit int) (page []string, next string) {
	start, _ := slices.BinarySearch(s.elements, max(prefix, from))
	for _, element := range s.elements[start:] {
		if !strings.HasPrefix(element, prefix) {
			return page, ""
		}
		if len(page) == limit {
			return page, element
		}
		page = append(page, element)
	}
	return page, ""
}
