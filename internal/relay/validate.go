package relay

import (
	"math"
	"net/http"
	"strings"
	"unicode/utf8"
)

// validate returns an error if a request has a field that must not be relayed. Method, URI,
// host and header are written unescaped into the request to a backend server.
func validate(request *Request, bodyLimit int64) error {
	route := request.Route
	durationsValid := request.Remaining > 0 && route.Timeout >= 0 && route.TargetLatency >= 0 && route.TargetEventGap >= 0
	for _, check := range []error{
		checkName("from", string(request.From), false),
		checkSize("id", len(request.ID), maxIDBytes),
		checkThat(request.ID != "" && !hasControl(request.ID), "id"),
		checkName("service", string(request.Service), false),
		checkName("route", string(route.Name), true),
		checkName("team", string(request.Team), true),
		checkThat(durationsValid, "duration"),
		checkThat(route.MaxAttempts >= 0 && route.MaxAttempts <= math.MaxInt32, "max-attempts"),
		checkRan(request),
		checkName("method", request.Method, false),
		checkThat(isToken(request.Method), "method"),
		checkThat(request.URI != "" && !hasSpaceOrControl(request.URI), "uri"),
		checkThat(!hasSpaceOrControl(request.Host), "host"),
		checkHeader(request.Header),
		checkBody(request.Body, bodyLimit),
	} {
		if check != nil {
			return check
		}
	}
	return nil
}

func checkThat(valid bool, field string) error {
	if !valid {
		return &InvalidFieldError{Field: field}
	}
	return nil
}

func checkSize(field string, size, limit int) error {
	if size > limit {
		return &TooLargeError{Field: field, Size: int64(size), Limit: int64(limit)}
	}
	return nil
}

func checkName(field, name string, mayBeEmpty bool) error {
	if err := checkSize(field, len(name), maxNameBytes); err != nil {
		return err
	}
	return checkThat((name != "" || mayBeEmpty) && utf8.ValidString(name), field)
}

func checkRan(request *Request) error {
	if err := checkSize("ran", len(request.Ran), maxRan); err != nil {
		return err
	}
	for _, id := range request.Ran {
		if err := checkName("ran", string(id), false); err != nil {
			return err
		}
	}
	return nil
}

func checkHeader(header http.Header) error {
	if err := checkSize("header", len(header), maxHeaderFields); err != nil {
		return err
	}
	for name, values := range header {
		if !isToken(name) {
			return &InvalidFieldError{Field: "header"}
		}
		if err := checkSize("header", len(values), maxHeaderFields); err != nil {
			return err
		}
		for _, value := range values {
			if strings.ContainsAny(value, "\r\n\x00") {
				return &InvalidFieldError{Field: "header"}
			}
		}
	}
	return nil
}

func checkBody(body []byte, limit int64) error {
	if size := int64(len(body)); size > limit {
		return &TooLargeError{Field: "body", Size: size, Limit: limit}
	}
	return nil
}

// tokenPunctuation are the characters of an HTTP token besides letters and digits.
const tokenPunctuation = "!#$%&'*+-.^_`|~"

// isToken reports whether s is a token of HTTP, as methods and header names are.
func isToken(s string) bool {
	for _, c := range []byte(s) {
		isLetter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		isDigit := '0' <= c && c <= '9'
		if !isLetter && !isDigit && !strings.Contains(tokenPunctuation, string(rune(c))) {
			return false
		}
	}
	return s != ""
}

func hasControl(s string) bool {
	for _, c := range []byte(s) {
		if c < ' ' || c == 0x7f {
			return true
		}
	}
	return false
}

func hasSpaceOrControl(s string) bool { return hasControl(s) || strings.Contains(s, " ") }
