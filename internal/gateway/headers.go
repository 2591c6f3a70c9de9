package gateway

import (
	"net/http"
	"strings"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/platform"
)

// connectionHeaders concern one connection and are not forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// ownHeaders are set by the router, whatever the client sent.
var ownHeaders = []string{
	platform.HeaderAPIKey, platform.HeaderTeam, platform.HeaderExpectBackend, platform.HeaderPath,
	platform.HeaderPriority, platform.HeaderDeadline,
}

// backendHeaders are between the router and its backend servers.
var backendHeaders = []string{platform.HeaderLoad, platform.HeaderBackendAtFault}

func dropConnectionHeaders(header http.Header) {
	for _, listed := range header.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		header.Del(name)
	}
}

// forwardedHeader is what a backend server gets of a client's header.
func forwardedHeader(client http.Header, team deployment.Team) http.Header {
	header := client.Clone()
	dropConnectionHeaders(header)
	for _, name := range ownHeaders {
		header.Del(name)
	}
	if team != "" {
		header.Set(platform.HeaderTeam, string(team))
	}
	return header
}

// copyAnswerHeader gives the client the header of a backend server's answer.
func copyAnswerHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	dropConnectionHeaders(to)
	for _, name := range backendHeaders {
		to.Del(name)
	}
	if to.Get("Content-Type") == "" {
		to["Content-Type"] = nil // keeps the library from guessing one
	}
	if to.Get("Date") == "" {
		to["Date"] = nil // the backend server's header is returned as it is
	}
}
