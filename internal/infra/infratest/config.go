package infratest

import (
	"context"
	"time"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/work"
)

// ConfigSource is a source with one configuration, which the first Wait returns.
type ConfigSource struct{ Config *work.Config }

// Wait implements infra.ConfigSource.
func (s *ConfigSource) Wait(ctx context.Context, wait time.Duration) (infra.ConfigUpdate, error) {
	if config := s.Config; config != nil {
		s.Config = nil
		return infra.ConfigUpdate{Config: config}, nil
	}
	return infra.ConfigUpdate{}, periodic.Pause(ctx, wait)
}
