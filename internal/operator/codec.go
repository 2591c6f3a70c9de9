package operator

import (
	"mulberryhead.org/mulberryhead/internal/logservice/document"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

type wireProblem struct {
	Type   string     `json:"type"`
	Title  string     `json:"title"`
	Status int        `json:"status"`
	Code   string     `json:"code"`
	Detail string     `json:"detail,omitempty"`
	Winner *wireEntry `json:"winner,omitempty"`
}

type wireEntry struct {
	Environment string `json:"environment"`
	Stage       string `json:"stage"`
	Version     int64  `json:"version"`
	Digest      string `json:"digest"`
	PublishID   string `json:"publish-id"`
}

type wireDocument struct {
	Environment string `json:"environment"`
	Stage       string `json:"stage"`
	Version     int64  `json:"version"`
	Digest      string `json:"digest"`
	Applied     bool   `json:"applied"`
}

type wirePeer struct {
	Instance string `json:"instance"`
	Zone     string `json:"availability-zone"`
}

type wireRunner struct {
	Runner  string `json:"runner"`
	Zone    string `json:"availability-zone"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Layers  string `json:"layers"`
	Leaving bool   `json:"leaving"`
	Queued  int    `json:"queued"`
}

type wireStatus struct {
	Instance     string         `json:"instance"`
	Zone         string         `json:"availability-zone"`
	Incarnation  string         `json:"incarnation"`
	Ready        bool           `json:"ready"`
	LogAgeMillis int64          `json:"log-age-millis"`
	AsOf         int64          `json:"as-of"`
	Documents    []wireDocument `json:"documents"`
	Peers        []wirePeer     `json:"peers"`
	Runners      []wireRunner   `json:"runners"`
	Keys         int            `json:"keys"`
	FencingToken int64          `json:"fence"`
}

func entryToWire(e document.Entry) wireEntry {
	return wireEntry{
		Environment: string(e.Environment), Stage: string(e.Stage), Version: int64(e.Version),
		Digest: string(e.Digest), PublishID: e.ID.String(),
	}
}

func statusToWire(s Status) wireStatus {
	w := wireStatus{
		Instance: s.Instance, Zone: s.Zone, Incarnation: s.Incarnation, Ready: s.Ready,
		LogAgeMillis: s.LogAgeMillis, AsOf: s.AsOf, Keys: s.Keys, FencingToken: s.FencingToken,
		Documents: []wireDocument{}, Peers: []wirePeer{}, Runners: []wireRunner{},
	}
	for _, d := range s.Documents {
		w.Documents = append(w.Documents, wireDocument{
			Environment: string(d.Environment), Stage: string(d.Stage), Version: int64(d.Version),
			Digest: string(d.Digest), Applied: d.Applied,
		})
	}
	for _, p := range s.Peers {
		w.Peers = append(w.Peers, wirePeer(p))
	}
	for _, r := range s.Runners {
		w.Runners = append(w.Runners, wireRunner(r))
	}
	return w
}

func statusFromWire(w *wireStatus) Status {
	s := Status{
		Instance: w.Instance, Zone: w.Zone, Incarnation: w.Incarnation, Ready: w.Ready,
		LogAgeMillis: w.LogAgeMillis, AsOf: w.AsOf, Keys: w.Keys, FencingToken: w.FencingToken,
	}
	for _, d := range w.Documents {
		s.Documents = append(s.Documents, DocumentState{
			Environment: environment.Name(d.Environment), Stage: environment.Stage(d.Stage),
			Version: document.Version(d.Version), Digest: environment.Digest(d.Digest), Applied: d.Applied,
		})
	}
	for _, p := range w.Peers {
		s.Peers = append(s.Peers, PeerState(p))
	}
	for _, r := range w.Runners {
		s.Runners = append(s.Runners, RunnerState(r))
	}
	return s
}

// StatusToJSON converts a status to a value that encoding/json marshals to the JSON of
// the API.
func StatusToJSON(s Status) any {
	return statusToWire(s)
}
