// Package controllersvc is a stand-in for a controller, used in tests of the operators' tools.
package controllersvc

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/api/turmericyoke/v1/turmericyokev1connect"
	"turmericyoke/internal/document"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// Controller applies change sets to its document and can lose a response on demand.
type Controller struct {
	turmericyokev1connect.UnimplementedControllerServiceHandler

	mu     sync.Mutex
	status structs.DocumentStatus
	// heldRights is the number of rights held, by team.
	heldRights       map[string]uint64
	verdicts         []structs.VerdictStatus
	surrenders       []*v1.Surrender
	loseNextResponse bool
	freshness        time.Duration
	joined           []structs.GatewayEntry
	polling          []*v1.GatewayStatus
	onDocument       func()
}

// New returns a controller whose accepted document is doc.
func New(version uint64, doc structs.Document) *Controller {
	return &Controller{status: structs.DocumentStatus{Version: version, Document: doc}, heldRights: map[string]uint64{}}
}

// Handler returns the HTTP handler of the controller.
func (c *Controller) Handler() http.Handler {
	_, handler := turmericyokev1connect.NewControllerServiceHandler(c)
	return handler
}

// LoseNextResponse makes the call with the next accepted change set fail after the change took effect.
func (c *Controller) LoseNextResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseNextResponse = true
}

// SetHeldRights sets the number of rights that the team's holders have.
func (c *Controller) SetHeldRights(team string, units uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heldRights[team] = units
}

// SetFreshness sets the age of the state that the controller reports.
func (c *Controller) SetFreshness(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.freshness = age
}

// SetGateways sets the gateways that have joined the fleet, and those that the controller reports because they poll it.
func (c *Controller) SetGateways(joined []structs.GatewayEntry, polling ...*v1.GatewayStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.joined, c.polling = joined, polling
}

// ReplaceAfterNextQuery makes another change set, which turns the document into doc, be accepted right after the next
// query of the document.
func (c *Controller) ReplaceAfterNextQuery(doc structs.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onDocument = func() {
		c.status = structs.DocumentStatus{Version: c.status.Version + 1, Document: doc}
	}
}

// Document returns the accepted document.
func (c *Controller) Document() structs.DocumentStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status
}

// Surrenders returns the proposed surrenders of rights.
func (c *Controller) Surrenders() []*v1.Surrender {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.surrenders
}

// Status implements ControllerService.
func (c *Controller) Status(context.Context, *v1.StatusRequest) (*v1.StatusResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &v1.StatusResponse{
		Name: "controller-1", Zone: "north", ConfigVersion: c.status.Version, Ready: true,
		FreshnessMs: uint64(c.freshness.Milliseconds()), Gateways: c.polling,
	}, nil
}

// Query implements ControllerService for the sections document, holders, verdicts and teams. Other sections are
// empty.
func (c *Controller) Query(_ context.Context, request *v1.QueryRequest) (*v1.QueryResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, err := json.Marshal(c.section(request))
	if request.GetSection() == "document" && c.onDocument != nil {
		defer c.onDocument()
		c.onDocument = nil
	}
	return &v1.QueryResponse{Json: data, ConfigVersion: c.status.Version}, err
}

func (c *Controller) section(request *v1.QueryRequest) any {
	switch request.GetSection() {
	case "document":
		return c.status
	case "verdicts":
		return c.verdicts
	case "holders":
		return append([]structs.GatewayEntry{}, c.joined...)
	case "teams":
		return []structs.TeamStatus{{Name: request.GetName(), Held: c.heldRights[request.GetName()]}}
	default:
		return []string{}
	}
}

// Propose implements ControllerService for change sets and surrenders.
func (c *Controller) Propose(_ context.Context, request *v1.ProposeRequest) (*v1.ProposeResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if surrender := request.GetRecord().GetSurrender(); surrender != nil {
		c.surrenders = append(c.surrenders, surrender)
		c.heldRights[surrender.GetTeam()] = min(c.heldRights[surrender.GetTeam()], surrender.GetTarget())
		return &v1.ProposeResponse{Accepted: true}, nil
	}
	return c.applyChangeSet(request.GetRecord().GetChangeSet(), request.GetAuthor())
}

func (c *Controller) applyChangeSet(changeSet *v1.ChangeSet, author string) (*v1.ProposeResponse, error) {
	if changeSet.GetBaseVersion() != c.status.Version {
		return &v1.ProposeResponse{Kind: string(fault.VersionConflict), Detail: "the base version isn't current"}, nil
	}
	next, err := document.Apply(&c.status.Document, changeSet.GetChanges())
	if err != nil {
		return nil, err
	}
	c.status = structs.DocumentStatus{Version: c.status.Version + 1, Document: *next}
	c.verdicts = append(c.verdicts, structs.VerdictStatus{
		Payload: "change_set", Subject: changeSet.GetId() + ", and more", Author: author,
		Accepted: true, ConfigVersion: c.status.Version,
	})
	if c.loseNextResponse {
		c.loseNextResponse = false
		return nil, connect.NewError(connect.CodeUnknown, errors.New("connection lost"))
	}
	return &v1.ProposeResponse{Accepted: true, ConfigVersion: c.status.Version}, nil
}
