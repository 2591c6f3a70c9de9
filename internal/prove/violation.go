package prove

import (
	"errors"

	"mulberryhead.org/mulberryhead/internal/invariant"
)

// isViolation reports whether a panic came from a broken invariant.
func isViolation(err error) bool {
	var violation *invariant.ViolationError
	return errors.As(err, &violation)
}
