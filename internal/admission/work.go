package admission

const (
	// unknownWork is the work of a request as long as no request had a known one. Only the ratio
	// of two requests matters then.
	unknownWork = 1000.0 // milliseconds
	// maxWork bounds the work of one request. A greater one is taken for a fault of whoever has
	// stated the size.
	maxWork = 1e9 // milliseconds
	// typicalWorkWeight is the weight of one request in the mean work.
	typicalWorkWeight = 0.05
)

// workOf returns the work of a request, that of a typical one if it is not known.
func (q *Queue) workOf(r *Request) float64 {
	switch {
	case r.Work > 0 && r.Work <= maxWork:
		return r.Work
	case q.typicalWork > 0:
		return q.typicalWork
	}
	return unknownWork
}

// recordWork includes the work of an admitted request in the mean.
func (q *Queue) recordWork(r *Request) {
	switch {
	case !(r.Work > 0 && r.Work <= maxWork):
	case q.typicalWork == 0:
		q.typicalWork = r.Work
	default:
		q.typicalWork += typicalWorkWeight * (r.Work - q.typicalWork)
	}
}
