package main

const (
	// endingBody is the body of the request that ends each server that runs it.
	endingBody = "ending prompt"
	// endsBefore is the number of ends after which the rule counts retries, and allowedRetries how many of them.
	endsBefore     = 3
	allowedRetries = 3
)

// judgeEnding applies the rule: after the third end and the stable window the request may reach servers in three
// more retries.
func judgeEnding(r *record, group *serverGroup) bool {
	runs, ended := group.endingRuns()
	r.add("the request was run %d times, and %d servers have ended", len(runs), len(ended))
	if len(ended) < endsBefore {
		return false
	}
	from := ended[endsBefore-1].Add(stableWindow)
	late := 0
	for _, one := range runs {
		if one.at.After(from) {
			late++
		}
	}
	r.add("of these runs %d were sent later than %s after the third end; the rule allows %d", late, stableWindow, allowedRetries)
	return late > allowedRetries
}
