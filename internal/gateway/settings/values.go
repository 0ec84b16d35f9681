// Package settings reads the operators' settings object. Both the simulator's first message and the configuration of a
// gateway on the platform contain this object, with the same keys and units.
package settings

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"
)

// Values maps the paths of settings to their values. The keys on a path are joined by dots. A list of scalars is stored
// as one comma-separated string. The elements of a list of objects are stored under their index, and every list has its
// length under the key count.
type Values map[string]string

// Flatten converts a nested JSON object to Values. Numbers must be decoded as json.Number.
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

// scalarText returns the text of a string, number or boolean. ok is false for any other type.
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

// Number returns the finite number at a path, or fallback if there is none.
func (v Values) Number(path string, fallback float64) float64 {
	n, err := strconv.ParseFloat(v[path], 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		return fallback
	}
	return n
}

// Duration returns the duration at a path, which is given in seconds, or fallback if there is none or it is negative.
func (v Values) Duration(path string, fallback time.Duration) time.Duration {
	if n := v.Number(path, -1); n >= 0 {
		return Seconds(n)
	}
	return fallback
}

// Bool returns the boolean at a path, or fallback if there is none.
func (v Values) Bool(path string, fallback bool) bool {
	switch v[path] {
	case "true", "1":
		return true
	case "false", "0":
		return false
	}
	return fallback
}

// maxMicroseconds is the maximum duration in microseconds. It is a quarter of the range of time.Duration, so that sums
// of a few durations do not overflow.
const maxMicroseconds = math.MaxInt64 / 4000

// Seconds converts seconds to a Duration, rounded to the nearest microsecond and limited to maxMicroseconds.
func Seconds(seconds float64) time.Duration {
	microseconds := math.Round(seconds * 1e6)
	if microseconds > maxMicroseconds {
		microseconds = maxMicroseconds
	}
	return time.Duration(microseconds) * time.Microsecond
}
