package runner

import "strconv"

// follows reports whether the event numbered next directly follows the event numbered
// last. An empty last stands for no event, which any number may follow.
func follows(last, next string) bool {
	n, err := strconv.ParseInt(next, 10, 64)
	if err != nil {
		return false
	}
	if last == "" {
		return true
	}
	l, err := strconv.ParseInt(last, 10, 64)
	return err == nil && n == l+1
}
