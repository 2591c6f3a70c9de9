package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/routing"
	"mulberryhead.org/mulberryhead/platform"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// reservedHeaders are never forwarded from a client. The router sets those that the
// backend servers need.
var reservedHeaders = []string{
	platform.HeaderAPIKey, platform.HeaderTeam, platform.HeaderExpectBackend, platform.HeaderPath,
	platform.HeaderPriority, platform.HeaderDeadline,
}

// backendOnlyHeaders are sent by backend servers for the router and removed from
// responses to clients.
var backendOnlyHeaders = []string{platform.HeaderLoad, platform.HeaderLimit, platform.HeaderBackendAtFault}

// connectionOptions returns the names that a header lists as those of its connection.
func connectionOptions(header http.Header) []string {
	var names []string
	for _, listed := range header.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

func removeHopByHopHeaders(header http.Header) {
	for _, name := range connectionOptions(header) {
		header.Del(name)
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// forwardedHeader returns the part of a client's header that is sent to backend servers.
func forwardedHeader(client http.Header, team deployment.Team) http.Header {
	header := client.Clone()
	removeHopByHopHeaders(header)
	for _, name := range reservedHeaders {
		header.Del(name)
	}
	if team != "" {
		header.Set(platform.HeaderTeam, string(team))
	}
	return header
}

// priorityHeader returns how urgent a request is for the backend servers of a service, empty if
// they need not know.
func priorityHeader(table *routing.Table, service deployment.ServiceName, rank routing.Rank) string {
	priority, ok := table.ServerPriority(service, rank)
	if !ok {
		return ""
	}
	return strconv.Itoa(priority)
}

// setAttemptHeader sets what the header of each attempt has in common.
func (c *call) setAttemptHeader(header http.Header, now time.Time, to deployment.BackendID) {
	header.Set(platform.HeaderDeadline, platform.FormatDeadline(c.remaining(now)))
	header.Set(platform.HeaderExpectBackend, string(to))
	if c.priorityHeader != "" {
		header.Set(platform.HeaderPriority, c.priorityHeader)
	}
}

// copyResponseHeader copies the header of a backend server's response to the client's
// response.
func copyResponseHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	removeHopByHopHeaders(to)
	for _, name := range backendOnlyHeaders {
		to.Del(name)
	}
	if to.Get("Content-Type") == "" {
		to["Content-Type"] = nil // keeps net/http from detecting a type
	}
	if to.Get("Date") == "" {
		to["Date"] = nil // keeps net/http from adding a date that the backend server did not send
	}
}
