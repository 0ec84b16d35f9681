// Package settings reads the operators' settings object, which the simulator's first message and the configuration of a
// gateway on the platform both hold, under the same names and in the same units.
package settings

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"
)

// Values holds settings by path. A list of scalars is one text with commas; a list of objects has its count, and its
// elements by their index.
type Values map[string]string

// Flatten makes Values of nested JSON, decoded with numbers as json.Number.
func Flatten(object map[string]any) Values {
	values := Values{}
	values.flatten("", object)
	return values
}

func (v Values) flatten(path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, part := range value {
			v.flatten(path+"."+name, part)
		}
	case []any:
		var texts []string
		for i, part := range value {
			if text, ok := scalarText(part); ok {
				texts = append(texts, text)
			} else {
				v.flatten(path+"."+strconv.Itoa(i), part)
			}
		}
		v[strings.TrimPrefix(path+".count", ".")] = strconv.Itoa(len(value))
		v[strings.TrimPrefix(path, ".")] = strings.Join(texts, ",")
	default:
		if text, ok := scalarText(value); ok {
			v[strings.TrimPrefix(path, ".")] = text
		}
	}
}

// scalarText is the text of a string, a number or a truth value.
func scalarText(value any) (text string, ok bool) {
	switch value := value.(type) {
	case string:
		return value, true
	case json.Number:
		return value.String(), true
	case bool:
		return strconv.FormatBool(value), true
	}
	return "", false
}

// Number returns the number at a path, or fallback where there is none.
func (v Values) Number(path string, fallback float64) float64 {
	n, err := strconv.ParseFloat(v[path], 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		return fallback
	}
	return n
}

// Duration returns the duration at a path, which is in seconds, or fallback where there is none.
func (v Values) Duration(path string, fallback time.Duration) time.Duration {
	if n := v.Number(path, -1); n >= 0 {
		return Seconds(n)
	}
	return fallback
}

// Bool returns the truth value at a path, or fallback where there is none.
func (v Values) Bool(path string, fallback bool) bool {
	switch v[path] {
	case "true", "1":
		return true
	case "false", "0":
		return false
	}
	return fallback
}

// maxMicroseconds is the longest duration, a quarter of what a Duration holds, so that sums of them don't overflow.
const maxMicroseconds = math.MaxInt64 / 4000

// Seconds converts seconds to a Duration, to the nearest microsecond.
func Seconds(seconds float64) time.Duration {
	microseconds := math.Round(seconds * 1e6)
	if microseconds > maxMicroseconds {
		microseconds = maxMicroseconds
	}
	return time.Duration(microseconds) * time.Microsecond
}
