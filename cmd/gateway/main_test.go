package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/settings"
	"turmericyoke/internal/structs"
)

// Checks that --check-config accepts valid settings without starting the gateway, and names an invalid one.
func TestCheckConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "gateway.yaml")
	template := "name: g1\nzone: z1\nlisten: 127.0.0.1:1\npeerListen: 127.0.0.1:2\noperatorListen: %s\nlog: 127.0.0.1:5\ntls: {plaintext: true}\ncontrollers: [127.0.0.1:4]\n"
	for operatorListen, wantError := range map[string]string{"127.0.0.1:3": "", "localhost:3": "operatorListen"} {
		assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil, template, operatorListen), 0o600))
		cmd := newBinary().Command()
		var out bytes.Buffer
		cmd.SetOut(&out)
		cmd.SetErr(&out)
		cmd.SetArgs([]string{"--config", path, "--check-config"})
		err := cmd.Execute()
		if wantError == "" {
			assert.NilError(t, err)
			assert.Equal(t, out.String(), "settings are valid\n")
			continue
		}
		assert.ErrorContains(t, err, wantError)
	}
}

// Checks that a gateway without a view and a lease serves operators but isn't ready, that callers can't
// read profiles, and that the process stops once its context is cancelled, as it is on a signal.
func TestStartAndStop(t *testing.T) {
	config := settings.DefaultGateway()
	config.Name, config.Zone = "g1", "z1"
	config.Listen, config.PeerListen, config.OperatorListen = unusedAddress(t), unusedAddress(t), unusedAddress(t)
	config.Controllers = []string{unusedAddress(t)}
	config.Log, config.TLS.Plaintext = unusedAddress(t), true
	config.Timeouts.Drain = structs.Duration(1)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	var out bytes.Buffer
	p, err := newProcess(config, &out)
	assert.NilError(t, err)
	assert.NilError(t, p.listen())
	go func() { done <- p.run(ctx) }()
	status := func(address, path string) int {
		response, err := http.Get("http://" + address + path)
		assert.NilError(t, err)
		defer response.Body.Close()
		return response.StatusCode
	}
	assert.Equal(t, status(config.OperatorListen, "/healthz"), http.StatusOK)
	assert.Equal(t, status(config.OperatorListen, "/readyz"), http.StatusServiceUnavailable)
	assert.Equal(t, status(config.OperatorListen, "/metrics"), http.StatusOK)
	assert.Equal(t, status(config.OperatorListen, "/debug/pprof/"), http.StatusOK)
	assert.Equal(t, status(config.Listen, "/debug/pprof/"), http.StatusUnauthorized)
	cancel()
	assert.NilError(t, <-done)
}

// unusedAddress returns a loopback address that was free a moment ago.
func unusedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}
