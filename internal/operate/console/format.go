package console

import (
	"fmt"
	"reflect"
	"strings"
)

// joinAny joins a slice of any string type.
func joinAny(list any) string {
	v := reflect.ValueOf(list)
	if v.Kind() != reflect.Slice {
		return ""
	}
	words := make([]string, v.Len())
	for i := range words {
		words[i] = fmt.Sprint(v.Index(i))
	}
	return strings.Join(words, ", ")
}

func percent(share float64) string {
	return fmt.Sprintf("%.2f%%", 100*share)
}

// dict returns a map of alternating names and values, to pass several arguments to a
// template.
func dict(pairs ...any) map[string]any {
	values := make(map[string]any, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		values[fmt.Sprint(pairs[i])] = pairs[i+1]
	}
	return values
}
