package measure

import "strconv"

// significantDigits is the precision of figures in tables.
const significantDigits = 4

func number(value float64) string {
	return strconv.FormatFloat(value, 'g', significantDigits, 64)
}

func unitSuffix(unit string) string {
	if unit == "" {
		return ""
	}
	return " " + unit
}
