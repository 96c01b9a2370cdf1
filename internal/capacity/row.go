package capacity

import (
	"fmt"
	"math"
)

// row is one row of a derived table.
type row struct {
	name, value, limit, source string
}

const derivedTableHeader = "| figure | value | limit | from |\n| --- | --- | --- | --- |\n"

func (r row) String() string {
	return fmt.Sprintf("| %s | %s | %s | %s |\n", r.name, r.value, r.limit, r.source)
}

// formatNumber formats a figure with three significant digits, and figures from 100 on as whole numbers.
func formatNumber(v float64) string {
	const whole = 100
	if math.Abs(v) >= whole {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

func withUnit(v float64, name string) string { return formatNumber(v) + " " + name }
