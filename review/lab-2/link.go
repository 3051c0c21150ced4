package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// deliveryPause is the pause between attempts to deliver a late order to a worker that isn't there.
const deliveryPause = time.Millisecond

// link stands between the entry processes and one worker. It passes calls on, or keeps an order for some time without an
// answer and passes it on then.
type link struct {
	lab      *lab
	worker   string
	target   string
	listener net.Listener
	client   *http.Client
	// lateFor returns for how long the order is kept; 0 if it is passed on at once. It is called with lab.mu held.
	lateFor func(path string, order orderBody) time.Duration
	// dark is set when the machine has no power: nothing is answered any more.
	dark atomic.Bool
}

func newLink(l *lab, worker, target string) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{lab: l, worker: worker, target: target, listener: listener, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	go func() { _ = http.Serve(listener, k) }() // It ends with this process.
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

// ServeHTTP implements http.Handler.
func (k *link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if k.dark.Load() {
		<-r.Context().Done()
		return
	}
	var order orderBody
	_ = json.Unmarshal(body, &order) // An order that can't be decoded is passed on.
	k.lab.mu.Lock()
	late := time.Duration(0)
	if k.lateFor != nil {
		late = k.lateFor(r.URL.Path, order)
	}
	if r.URL.Path != "/hold" {
		k.lab.orders++
		if late > 0 {
			k.lab.lateOrders++
		}
	}
	k.lab.mu.Unlock()
	if late > 0 {
		k.lab.note("link of %s keeps %s of %s run %d (token %d) without an answer for at least %s", k.worker, r.URL.Path, order.Task, order.Run, order.Token, late)
		go k.deliverLate(r.URL.Path, r.Header.Clone(), body, order, late)
		<-r.Context().Done()
		return
	}
	response, err := k.send(r.Context(), r.URL.Path, r.Header, body)
	if err != nil {
		k.reset(w, r)
		return
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		k.reset(w, r)
		return
	}
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(answer) // A caller that is gone gets no response.
}

// reset closes the connection of a call without a response, or keeps it silent if the machine has no power.
func (k *link) reset(w http.ResponseWriter, r *http.Request) {
	if k.dark.Load() {
		<-r.Context().Done()
		return
	}
	if hijacker, ok := w.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

func (k *link) send(ctx context.Context, path string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+k.target+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Expect-Instance", header.Get("Expect-Instance"))
	return k.client.Do(request)
}

// deliverLate passes an order on after the delay, and as soon as the worker takes connections, within lateLimit.
func (k *link) deliverLate(path string, header http.Header, body []byte, order orderBody, late time.Duration) {
	keptAt := time.Now()
	time.Sleep(late)
	for time.Since(keptAt) < lateLimit {
		response, err := k.send(context.Background(), path, header, body)
		if err != nil {
			time.Sleep(deliveryPause)
			continue
		}
		answer, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		k.lab.note("link of %s delivers the late %s of %s run %d after %d ms: %d %s", k.worker, path, order.Task, order.Run, time.Since(keptAt).Milliseconds(), response.StatusCode, bytes.TrimSpace(answer))
		return
	}
	k.lab.note("link of %s drops the late %s of %s run %d", k.worker, path, order.Task, order.Run)
}
