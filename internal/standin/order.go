package standin

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const weightRetryInterval = 200 * time.Millisecond

// EngineOrder is the body of POST /v1/orders. It tells an engine to load a
// version of its model. Fence is the fencing token of the lease holder that sent
// the order.
type EngineOrder struct {
	Fence   int64  `json:"fence"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order EngineOrder
	if !decodeJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.fencingToken {
		e.oldOrders++
		if e.config.RefuseOldFence {
			http.Error(w, fmt.Sprintf("fencing number %d is below %d", order.Fence, e.fencingToken), http.StatusConflict)
			return
		}
	}
	e.fencingToken = max(e.fencingToken, order.Fence)
	if order.Model != string(e.config.Model) {
		http.Error(w, "engine holds another model", http.StatusBadRequest)
		return
	}
	if order.Version != string(e.version) && !e.loading {
		e.loading = true
		go e.loadWeights(environment.ModelVersion(order.Version))
	}
	w.WriteHeader(http.StatusAccepted)
}

// loadWeights reads the weights of a version, retrying until the weight store
// returns them, and then makes the version active. Sessions and cached prefixes
// are discarded.
func (e *Engine) loadWeights(version environment.ModelVersion) {
	url := fmt.Sprintf("http://%s/weights/%s/%s", e.config.PlatformAddress, e.config.Model, version)
	for e.config.PlatformAddress != "" {
		response, err := http.Get(url) //nolint:gosec // The address comes from the stand-in's own flags.
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				break
			}
		}
		time.Sleep(weightRetryInterval)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.loading = version, false
	e.sessions = map[sessionKey]*stageSession{}
	e.prefixes = map[uint64]struct{}{}
}

// prefixHashes returns one hash for each complete block of the step's inputs.
// Each hash covers all inputs up to the end of its block.
func prefixHashes(step *runner.Step) []uint64 {
	digest := xxhash.New()
	var hashes []uint64
	var buf [8]byte
	for i := range step.Count() {
		value := uint64(0)
		if len(step.Tokens) > 0 {
			value = uint64(step.Tokens[i])
		} else {
			value = uint64(step.Hidden[i])
		}
		binary.LittleEndian.PutUint64(buf[:], value)
		_, _ = digest.Write(buf[:])
		if (i+1)%prefixBlockPositions == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return hashes
}
