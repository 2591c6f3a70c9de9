// Package instancelist reads the platform's list of instances and keeps the last list
// that was read while the platform can't be reached.
//
// Usage: poll with Client.Read, pass each list to View.Replace, and select instances for
// new work with View.OfKind:
//
//	client := instancelist.NewClient("10.0.0.1:80", callerID)
//	view := instancelist.NewView()
//	list, err := client.Read(ctx)
//	if err == nil {
//		view.Replace(list)
//	}
//	runners := view.OfKind(instancelist.KindRunner)
package instancelist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"time"

	"mulberryhead.org/mulberryhead/internal/http1"
)

const (
	readTimeout  = 2 * time.Second
	maxListBytes = 8 << 20
	// listMemory is the memory of a list that is read.
	listMemory = 24 << 20 // bytes
)

// ID identifies an instance of any kind. A View keeps one entry for each ID.
type ID string

// Zone names an availability zone.
type Zone string

// Region names a region.
type Region string

// Kind is what an instance runs: this program (an entry instance), a model runner or a
// plain service.
type Kind string

// The kinds of instances.
const (
	KindEntry   Kind = "entry"
	KindRunner  Kind = "engine"
	KindService Kind = "service"
)

// Instance is one entry of the list, an instance of this program or a backend server.
type Instance struct {
	ID      ID
	Kind    Kind
	Zone    Zone
	Region  Region
	Address string
	// Serves is the model or the plain service that a backend server offers.
	Serves  string
	Leaving bool // the instance is shutting down or draining
}

// UnavailableError reports that the list could not be read or decoded.
type UnavailableError struct {
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("instance list unavailable: %v", e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// Client reads the list. It is not safe for concurrent use.
type Client struct {
	url       string
	userAgent string
	http      *http.Client
	memory    *http1.Memory
	// etag and lastList are those of the last list that was received. The platform does
	// not send a list again that has not changed.
	etag     string
	lastList []Instance
}

// NewClient returns a client of the platform at address, HOST:PORT. The client sends
// callerID to the platform in the User-Agent header.
func NewClient(address, callerID string) *Client {
	memory := http1.NewMemory(listMemory)
	return &Client{
		url:       "http://" + address + "/instances",
		userAgent: "mulberryhead/" + callerID,
		http:      http1.NewClient(http.DefaultTransport.(*http.Transport).Clone(), memory),
		memory:    memory,
	}
}

type wireInstance struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"`
	Serves  string `json:"serves"`
	Leaving bool   `json:"leaving"`
}

// Read returns the current list. The error is an *UnavailableError.
func (c *Client) Read(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	request.Header.Set("User-Agent", c.userAgent)
	if c.etag != "" {
		request.Header.Set("If-None-Match", c.etag)
	}
	response, err := c.http.Do(request) //nolint:bodyclose // ReadBody closes it
	if err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	data, release, err := c.memory.ReadBody(response, maxListBytes)
	if err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	defer release()
	if response.StatusCode == http.StatusNotModified {
		return c.lastList, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, &UnavailableError{Cause: fmt.Errorf("status %d", response.StatusCode)}
	}
	var wire []wireInstance
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	list := make([]Instance, 0, len(wire))
	for _, w := range wire {
		list = append(list, Instance{
			ID: ID(w.ID), Kind: Kind(w.Kind), Zone: Zone(w.Zone), Region: Region(w.Region),
			Address: w.Address, Serves: w.Serves, Leaving: w.Leaving,
		})
	}
	c.etag, c.lastList = response.Header.Get("ETag"), list
	return list, nil
}

// View holds the last list that was read. It is not safe for concurrent use.
type View struct {
	instances map[ID]Instance
}

// NewView returns an empty view.
func NewView() *View {
	return &View{instances: map[ID]Instance{}}
}

// Replace replaces the list. Instances that are not in the new list are removed.
func (v *View) Replace(list []Instance) {
	v.instances = make(map[ID]Instance, len(list))
	for _, i := range list {
		v.instances[i.ID] = i
	}
}

// OfKind returns the instances of a kind, sorted by id, including those with Leaving set.
func (v *View) OfKind(kind Kind) []Instance {
	var list []Instance
	for _, i := range v.instances {
		if i.Kind == kind {
			list = append(list, i)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

// Get returns the listed instance with an id, false if there is none.
func (v *View) Get(id ID) (Instance, bool) {
	i, ok := v.instances[id]
	return i, ok
}
