package policy_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/policy"
	"turmericyoke/internal/settings"
)

// Guards against a deployment without a policy file that is served by new rules.
func TestDefaultPolicyKeepsTheFormerRules(t *testing.T) {
	p, err := policy.Load("")
	assert.NilError(t, err)
	assert.Assert(t, !p.Predictions.ByKind() && !p.Overload.ByCost() && !p.Zones.InHomeZone() && !p.Zones.UnlessIsolated())
}

// Guards against a misspelled rule that silently leaves the default in force.
func TestPolicyRejectsUnknownRules(t *testing.T) {
	for _, text := range []string{"predictions: {by: kinds}", "overload: {order: least}", "zones: {placement: near}", "zones: {readiness: always}", "zone: {placement: home}"} {
		assert.Assert(t, settings.Parse([]byte(text), &policy.Policy{}) != nil, text)
	}
	p := policy.Policy{}
	assert.NilError(t, settings.Parse([]byte("predictions: {by: kind}\noverload: {order: cost}\nzones: {placement: home, readiness: isolation}\n"), &p))
	assert.Assert(t, p.Predictions.ByKind() && p.Overload.ByCost() && p.Zones.InHomeZone() && p.Zones.UnlessIsolated())
}
