// Package policy holds the scheduling rules that operators choose for a deployment. The zero value of each rule is the
// default, so that a deployment without a policy file is served by the same rules as before the file existed.
package policy

import (
	"turmericyoke/internal/fault"
	"turmericyoke/internal/settings"
)

// Policy is the content of a policy file.
type Policy struct {
	// Predictions chooses how run times are predicted.
	Predictions Predictions `yaml:"predictions"`
	// Overload chooses what is delayed or rejected when there is too little capacity.
	Overload Overload `yaml:"overload"`
	// Zones chooses how the loss of an availability zone is limited.
	Zones Zones `yaml:"zones"`
}

// Predictions are the rules for predicted run times.
type Predictions struct {
	// By is the set of work items whose run times are learned together: PredictByPool or PredictByKind.
	By string `yaml:"by"`
}

// Values of Predictions.By.
const (
	// PredictByPool scales declared run times by one ratio for each pool. It is the default.
	PredictByPool = "pool"
	// PredictByKind learns a distribution of run times for each kind of work, and a speed for each worker.
	PredictByKind = "kind"
)

// Overload are the rules for pools with more work than capacity.
type Overload struct {
	// Order is the order in which waiting jobs get capacity: OrderBySlack or OrderByCost.
	Order string `yaml:"order"`
}

// Values of Overload.Order.
const (
	// OrderBySlack places started jobs first, and then those with the least slack. It is the default.
	OrderBySlack = "slack"
	// OrderByCost places the jobs first whose delay costs their callers most for the capacity that they need.
	OrderByCost = "cost"
)

// Zones are the rules that limit the loss of an availability zone.
type Zones struct {
	// Placement is PlaceAnywhere or PlaceInHomeZone.
	Placement string `yaml:"placement"`
	// Readiness is ReadyWithConfig or ReadyUnlessIsolated.
	Readiness string `yaml:"readiness"`
}

// Values of Zones.Placement and Zones.Readiness.
const (
	// PlaceAnywhere places the work items of a job in any availability zone. It is the default.
	PlaceAnywhere = "anywhere"
	// PlaceInHomeZone places the work items of a job in one availability zone while it has room.
	PlaceInHomeZone = "home"
	// ReadyWithConfig reports a process as ready once it has a configuration. It is the default.
	ReadyWithConfig = "config"
	// ReadyUnlessIsolated reports a process as not ready while it reaches neither the log nor the scheduler.
	ReadyUnlessIsolated = "isolation"
)

// ByKind reports whether run times are learned by kind of work.
func (p Predictions) ByKind() bool { return p.By == PredictByKind }

// ByCost reports whether waiting jobs are ordered by the cost of their delay.
func (o Overload) ByCost() bool { return o.Order == OrderByCost }

// InHomeZone reports whether the work items of a job are placed in one availability zone.
func (z Zones) InHomeZone() bool { return z.Placement == PlaceInHomeZone }

// UnlessIsolated reports whether an isolated process isn't ready.
func (z Zones) UnlessIsolated() bool { return z.Readiness == ReadyUnlessIsolated }

// Load reads the policy file at path. An empty path returns the default policy.
func Load(path string) (Policy, error) {
	var p Policy
	if path == "" {
		return p, nil
	}
	err := settings.Load(path, &p)
	return p, err
}

// Check implements settings.Checker.
func (p *Policy) Check() []error {
	var errs []error
	for _, rule := range []struct {
		field, value string
		allowed      [2]string
	}{
		{"predictions.by", p.Predictions.By, [2]string{PredictByPool, PredictByKind}},
		{"overload.order", p.Overload.Order, [2]string{OrderBySlack, OrderByCost}},
		{"zones.placement", p.Zones.Placement, [2]string{PlaceAnywhere, PlaceInHomeZone}},
		{"zones.readiness", p.Zones.Readiness, [2]string{ReadyWithConfig, ReadyUnlessIsolated}},
	} {
		if rule.value != "" && rule.value != rule.allowed[0] && rule.value != rule.allowed[1] {
			errs = append(errs, fault.Invalid(fault.SettingsInvalid, rule.field, "value %q: want %s or %s", rule.value, rule.allowed[0], rule.allowed[1]))
		}
	}
	return errs
}
