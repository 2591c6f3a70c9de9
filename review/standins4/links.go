package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

const (
	// instancesQuery names the topic in which instances tell one another their addresses.
	instancesTopic = "keyed.instances"
	// addressField is the field of an entry there that holds the address.
	addressField = 1
	// cutCheckInterval is the interval at which bytes that wait look for the end of a cut.
	cutCheckInterval = 20 * time.Millisecond
	linkBuffer       = 32 << 10 // bytes
)

// links are the links between the instances. Each instance is reached by the others through a proxy: a proxy in
// front of the store puts the addresses of these into the list of instances. A link that is cut carries nothing,
// in either direction, and opens no connection; what waits goes on once it is whole.
type links struct {
	mu        sync.Mutex
	instances []*instance
	proxies   map[string]string // by the address of an instance
	cut       map[deployment.InstanceID]bool
}

// frontStore returns the address of a proxy in front of a store, which hands out the addresses of the links.
func (l *links) frontStore(store *platformtest.Store) (address string, stop func()) {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: string(store.Address())})
	proxy.FlushInterval = -1
	proxy.ModifyResponse = func(response *http.Response) error {
		if response.Request.URL.Path != "/api/log-newest" || response.Request.URL.Query().Get("topic") != instancesTopic {
			return nil
		}
		return l.rewrite(response)
	}
	server := httptest.NewServer(proxy)
	return server.Listener.Addr().String(), server.Close
}

// rewrite replaces the addresses in the response to a read of the list of instances.
func (l *links) rewrite(response *http.Response) error {
	var list struct {
		Items   []map[string]any `json:"items"`
		HasMore bool             `json:"has-more"`
		End     int64            `json:"end"`
	}
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return err
	}
	for _, item := range list.Items {
		value, err := base64.StdEncoding.DecodeString(item["value"].(string))
		if err != nil {
			return err
		}
		if value, err = l.rewriteEntry(value); err != nil {
			return err
		}
		item["value"] = base64.StdEncoding.EncodeToString(value)
	}
	data, err := json.Marshal(list)
	if err != nil {
		return err
	}
	response.Body = io.NopCloser(bytes.NewReader(data))
	response.ContentLength = int64(len(data))
	response.Header.Set("Content-Length", strconv.Itoa(len(data)))
	return nil
}

func (l *links) rewriteEntry(value []byte) ([]byte, error) {
	entry := map[int]cbor.RawMessage{}
	if err := cbor.Unmarshal(value, &entry); err != nil {
		return nil, err
	}
	var address string
	if err := cbor.Unmarshal(entry[addressField], &address); err != nil {
		return nil, err
	}
	l.mu.Lock()
	proxy, ok := l.proxies[address]
	l.mu.Unlock()
	if !ok {
		return value, nil
	}
	encoded, err := cbor.Marshal(proxy)
	if err != nil {
		return nil, err
	}
	entry[addressField] = encoded
	return cbor.Marshal(entry)
}

// add puts a proxy in front of an instance.
func (l *links) add(to *instance) error {
	listener, err := listenLoopback()
	if err != nil {
		return fmt.Errorf("listen for a link: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.proxies == nil {
		l.proxies, l.cut = map[string]string{}, map[deployment.InstanceID]bool{}
	}
	l.instances = append(l.instances, to)
	l.proxies[to.control] = listener.Addr().String()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(connection.(*net.TCPConn), to)
		}
	}()
	return nil
}

// setCut cuts an instance off from all others, or ends that.
func (l *links) setCut(id deployment.InstanceID, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[id] = cut
}

// carry carries one connection between two instances.
func (l *links) carry(from *net.TCPConn, to *instance) {
	defer func() { _ = from.Close() }()
	sender := l.sender(from)
	l.await(sender, to.id)
	connection, err := net.Dial("tcp4", to.control)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	done := make(chan struct{}, 2)
	for _, direction := range [][2]net.Conn{{from, connection}, {connection, from}} {
		go func() {
			l.copy(direction[1], direction[0], sender, to.id)
			done <- struct{}{}
		}()
	}
	<-done
}

// copy copies bytes over a link until either end closes.
func (l *links) copy(to io.Writer, from io.Reader, a, b deployment.InstanceID) {
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		l.await(a, b)
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			return
		}
	}
}

// await waits until the link between two instances is whole.
func (l *links) await(a, b deployment.InstanceID) {
	for l.isCut(a, b) {
		time.Sleep(cutCheckInterval)
	}
}

func (l *links) isCut(a, b deployment.InstanceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[a] || l.cut[b]
}

// sender returns the instance that has opened a connection, empty if it is none of them.
func (l *links) sender(connection *net.TCPConn) deployment.InstanceID {
	inode := socketOf(connection.RemoteAddr().(*net.TCPAddr).Port, connection.LocalAddr().(*net.TCPAddr).Port)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range l.instances {
		if holdsSocket(i.command.Process.Pid, inode) {
			return i.id
		}
	}
	return ""
}

// socketOf returns the inode of the socket on a local port that is connected to a port, empty if there is none.
func socketOf(local, remote int) string {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", local)) && strings.HasSuffix(fields[2], fmt.Sprintf(":%04X", remote)) {
			return fields[9]
		}
	}
	return ""
}

// holdsSocket reports whether a process has a socket open.
func holdsSocket(process int, inode string) bool {
	if inode == "" {
		return false
	}
	folder := filepath.Join("/proc", strconv.Itoa(process), "fd")
	entries, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(folder, entry.Name())); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
