// Package settings reads the operators' settings object, which the simulator's first message and the configuration of
// a front end on the platform both hold, under the same names and units.
package settings

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"
)

// Values holds settings by path: a list of values is one text with commas, a list of objects has its count and numbers.
type Values map[string]string

// Flatten makes Paths of nested JSON, as json decodes it with numbers kept as they are written.
func Flatten(object map[string]any) Values {
	p := Values{}
	p.flatten("", object)
	return p
}

func (p Values) flatten(at string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, part := range v {
			p.flatten(at+"."+name, part)
		}
	case []any:
		var words []string
		for i, part := range v {
			if word, is := scalarText(part); is {
				words = append(words, word)
			} else {
				p.flatten(at+"."+strconv.Itoa(i), part)
			}
		}
		p[strings.TrimPrefix(at+".count", ".")] = strconv.Itoa(len(v))
		p[strings.TrimPrefix(at, ".")] = strings.Join(words, ",")
	default:
		if word, is := scalarText(v); is {
			p[strings.TrimPrefix(at, ".")] = word
		}
	}
}

func scalarText(v any) (string, bool) {
	switch v := v.(type) {
	case string:
		return v, true
	case json.Number:
		return v.String(), true
	case bool:
		return strconv.FormatBool(v), true
	}
	return "", false
}

// Number returns the number at path, or absent.
func (p Values) Number(path string, absent float64) float64 {
	n, err := strconv.ParseFloat(p[path], 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		return absent
	}
	return n
}

// Duration returns the time at path, or absent.
func (p Values) Duration(path string, absent time.Duration) time.Duration {
	if n := p.Number(path, -1); n >= 0 {
		return Seconds(n)
	}
	return absent
}

// Bool returns the truth value at path, or absent.
func (p Values) Bool(path string, absent bool) bool {
	switch p[path] {
	case "true", "1":
		return true
	case "false", "0":
		return false
	}
	return absent
}

// Seconds turns seconds into a Duration, to the nearest microsecond.
func Seconds(s float64) time.Duration {
	us := math.Round(s * 1e6)
	if us > math.MaxInt64/4000 {
		us = math.MaxInt64 / 4000
	}
	return time.Duration(us) * time.Microsecond
}
