package prove

import (
	"errors"

	"mulberryhead.org/mulberryhead/internal/invariant"
)

// isViolation reports whether the value of a panic is a violated invariant.
func isViolation(err error) bool {
	var violation *invariant.ViolationError
	return errors.As(err, &violation)
}
