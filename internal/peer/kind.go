package peer

const kindHeartbeat = "heartbeat"

// kindOf returns the name of a message's kind, for metrics.
func kindOf(message Message) string {
	switch message := message.(type) {
	case Heartbeat:
		return kindHeartbeat
	case Hello, Members:
		return "membership"
	case TopicRecordsRequest:
		return "topic-request"
	case TopicRecords:
		return kindOfTopicRecords(message)
	case StageLoads:
		return "loads"
	case ZoneLoads:
		return "zone-loads"
	case LayersHeld, LayersOrdered, LeaseHolder:
		return "placement"
	case StageObserved, ServersLeaving, Slowdown, LinksState:
		return "observation"
	case PoisonEvidence:
		return "evidence"
	case ForwardRequest, ForwardResponse:
		return "forwarded"
	default:
		return "documents" // of package daemon
	}
}

func kindOfTopicRecords(message TopicRecords) string {
	switch {
	case message.Announced:
		return "topic-announcement"
	case message.Pushed:
		return "topic-push"
	default:
		return "topic-answer"
	}
}

// subjectOf returns the subject of a message of which only the newest matters while it waits to
// be sent, and an empty string for other messages.
func subjectOf(message Message) string {
	records, ok := message.(TopicRecords)
	if !ok || records.Pushed {
		return ""
	}
	return records.Topic
}
