package entry

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/boottime"
	"turmericyoke/internal/entry/peer"
	"turmericyoke/internal/scheduler"
)

// Guards against a message of another program on the port for entry processes that ends the scheduler or uses up its
// memory: it is refused, and the next message is served.
func TestOddPeerMessagesAreRefused(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	e := &Entry{Logger: logrus.NewEntry(logger), Election: noLeader{}, PeerClients: peer.NewClients()}
	core := scheduler.New(1, scheduler.Options{}, boottime.Now, time.Now, e.Logger, nil)
	e.AttachCore(core)
	defer commitBatches(core)()
	server := httptest.NewServer(peer.NewHandler(e.PeerService()))
	defer server.Close()
	client := e.PeerClients.At(strings.TrimPrefix(server.URL, "http://"))
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	for _, message := range []string{
		`{}`, `null`, `7`, `{"Job":null}`, `{"Job":{"ID":"odd"}}`, `{"Job":{"ID":"odd","Steps":[{"Count":9223372036854775807}]}}`, `{"Job":{"ID":"odd","Steps":[{"Count":-1}]}}`,
		`{"Job":{"ID":"odd","Steps":[{"Count":1}],"Recurrence":{"Times":9223372036854775807}}}`, `{"Job":{"ID":"odd","Steps":[{"Count":1,"After":[0]}]}}`,
		`{"Job":{"ID":"odd","Steps":[{"Count":1,"Need":{"CPUMilli":-1}}]}}`, `{"Job":{"ID":"odd","Steps":[{"Count":1e400}]}}`, `{"Job":{"ID":"odd","Steps":` + deep + `}}`, "\xff",
	} {
		response, err := http.Post(server.URL+"/turmericyoke.entry.v1.Entry/Submit", "application/json", bytes.NewReader([]byte(message)))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusBadRequest, "%.80s", message)
		assert.NilError(t, response.Body.Close())
		state, err := client.State(t.Context(), &peer.StateRequest{Job: "odd"})
		assert.NilError(t, err)
		assert.Assert(t, !state.Known)
	}
	assert.Equal(t, core.Pending(""), 0)
}

// commitBatches commits the batches of the core, as a session with a log would, until the returned function is called.
func commitBatches(core *scheduler.Core) (stop func()) {
	ended := make(chan struct{})
	go func() {
		for {
			select {
			case <-core.Wakeups():
				batch := core.Collect()
				core.Committed(&batch)
			case <-ended:
				return
			}
		}
	}()
	return func() { close(ended) }
}
