package declaration

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Unit is the kind of a quantity, which the type field of a template parameter names.
// Counts and flags, which have no unit of measurement, are units of their own.
type Unit uint8

// The units. UnitNone is the unit of no valid quantity.
const (
	UnitNone Unit = iota
	// UnitCount is a whole number, such as 40.
	UnitCount
	// UnitDuration is a duration in nanoseconds, such as 800ms.
	UnitDuration
	// UnitRate is a number per second, such as 20/s or 6000/min.
	UnitRate
	// UnitShare is a fraction, such as 10%.
	UnitShare
	// UnitFlag is 0 for false and 1 for true.
	UnitFlag
)

var unitNames = [...]string{"none", "count", "duration", "rate", "share", "flag"}

var unitExamples = [...]string{
	"", "a whole number such as 40", "a duration with its unit such as 800ms",
	"a rate with its unit such as 20/s or 6000/min", "a share such as 10%", "true or false",
}

// String returns the name of the unit in a parameter's type field.
func (u Unit) String() string { return unitNames[u] }

func parseUnit(text string) (Unit, bool) {
	for i, name := range unitNames {
		if i > 0 && name == text {
			return Unit(i), true
		}
	}
	return UnitNone, false
}

// Quantity is a number in the base unit that the constants of Unit name: nanoseconds,
// a number per second, a fraction, or 0 and 1.
type Quantity struct {
	Unit   Unit
	Number float64
}

var ratePeriods = [...]struct {
	suffix  string
	seconds float64
}{{"/s", 1}, {"/min", 60}, {"/h", 3600}}

// maxNumber bounds counts, and the number before the unit of a rate or share. A
// float64 holds all integers up to it exactly.
const maxNumber = 1 << 40

// parseQuantity parses a quantity and infers its unit from the notation.
func parseQuantity(text string) (Quantity, bool) {
	switch text {
	case "true":
		return Quantity{UnitFlag, 1}, true
	case "false":
		return Quantity{UnitFlag, 0}, true
	}
	if n, err := strconv.ParseUint(text, 10, 64); err == nil {
		return Quantity{UnitCount, float64(n)}, n <= maxNumber
	}
	if number, ok := strings.CutSuffix(text, "%"); ok {
		n, ok := parseNumber(number)
		return Quantity{UnitShare, n / 100}, ok
	}
	for _, period := range ratePeriods {
		if number, ok := strings.CutSuffix(text, period.suffix); ok {
			n, ok := parseNumber(number)
			return Quantity{UnitRate, n / period.seconds}, ok
		}
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return Quantity{}, false
	}
	return Quantity{UnitDuration, float64(d)}, true
}

// parseNumber parses a number from 0 to maxNumber.
func parseNumber(text string) (float64, bool) {
	n, err := strconv.ParseFloat(text, 64)
	ok := err == nil && n >= 0 && n <= maxNumber && !math.IsNaN(n)
	return n, ok
}

// String returns the quantity in the notation of declarations. A rate that is a whole
// number per minute but not per second is written per minute; the comparison allows
// for rounding errors of float64.
func (q Quantity) String() string {
	switch q.Unit {
	case UnitCount:
		return strconv.FormatFloat(q.Number, 'f', -1, 64)
	case UnitDuration:
		return time.Duration(q.Number).String()
	case UnitRate:
		if perMinute := q.Number * time.Minute.Seconds(); q.Number != math.Trunc(q.Number) && math.Abs(perMinute-math.Round(perMinute)) < 1e-6 {
			return strconv.FormatFloat(math.Round(perMinute), 'f', -1, 64) + "/min"
		}
		return strconv.FormatFloat(q.Number, 'g', 6, 64) + "/s"
	case UnitShare:
		return strconv.FormatFloat(q.Number*100, 'g', 6, 64) + "%"
	case UnitFlag:
		return strconv.FormatBool(q.Number != 0)
	}
	return "none"
}

// bounds is the inclusive range of a quantity's number.
type bounds struct{ min, max float64 }

func (b bounds) contains(n float64) bool { return n >= b.min && n <= b.max }

// describeBounds describes the allowed numbers of a unit for a validation error.
func describeBounds(unit Unit, b bounds) string {
	if unit == UnitFlag {
		return "want true or false"
	}
	low := Quantity{unit, b.min}
	high := Quantity{unit, b.max}
	return fmt.Sprintf("want %s from %s to %s", unitExamples[unit], low, high)
}
