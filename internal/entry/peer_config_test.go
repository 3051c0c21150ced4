package entry

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/election"
	"turmericyoke/internal/entry/peer"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// configPeer is an entry process that has a version of the configuration. It responds after the channel was closed.
type configPeer struct {
	peer.Service
	version string
	after   <-chan struct{}
}

func (p *configPeer) Config(context.Context, *peer.ConfigRequest) (*peer.ConfigResponse, error) {
	<-p.after
	return &peer.ConfigResponse{Source: []byte(p.version)}, nil
}

// peersOnly is an election without a leader.
type peersOnly []infra.Member

func (peersOnly) Current() election.Claim { return election.Claim{} }
func (peersOnly) FollowsClaims() bool     { return true }
func (p peersOnly) Peers() []infra.Member { return p }

// Guards against withdrawn keys that are in use again for a moment after a restart: a process without a configuration
// applied the first one that a peer sent, and that peer was cut off itself.
func TestNewestConfigOfThePeersIsApplied(t *testing.T) {
	atOnce, outdatedReceived := make(chan struct{}), make(chan struct{})
	close(atOnce)
	output := &bytes.Buffer{}
	logger := logrus.New()
	logger.SetOutput(output)
	var members peersOnly
	for _, p := range []*configPeer{{version: "3", after: atOnce}, {version: "7", after: outdatedReceived}} {
		server := httptest.NewServer(peer.NewHandler(p))
		defer server.Close()
		members = append(members, infra.Member{Name: p.version, Address: server.Listener.Addr().String()})
	}
	e := &Entry{Logger: logrus.NewEntry(logger), Election: members, PeerClients: peer.NewClients(),
		DecodeConfig: func(raw []byte) (*work.Config, error) {
			version, err := strconv.ParseInt(string(raw), 10, 64)
			if version == 3 {
				close(outdatedReceived)
			}
			return &work.Config{Version: version}, err
		}}
	e.fetchConfigFromPeers(t.Context())
	assert.Equal(t, e.Config().Version, int64(7))
	assert.Equal(t, strings.Count(output.String(), "event=config_in_force"), 1, output.String())
}
