package serve

import (
	"sort"

	"turmericyoke/internal/fold"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/structs"
)

// waveStatuses returns the progress of the named wave, or of all waves if the name is empty, in order of name.
func waveStatuses(state *fold.State, name string) []structs.WaveStatus {
	statuses := []structs.WaveStatus{}
	for waveName, wave := range state.Inventory.Waves {
		if name == "" || name == waveName {
			statuses = append(statuses, waveStatus(wave))
		}
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Name < statuses[j].Name })
	return statuses
}

// waveStatus converts a wave to its form in query responses, with its hosts grouped by step and sorted by name.
func waveStatus(wave *inventory.Wave) structs.WaveStatus {
	status := structs.WaveStatus{
		Name: wave.Spec.Name, Pool: wave.Spec.Pool, State: string(wave.Phase), Reason: wave.Reason,
		Outstanding: wave.Stopped,
	}
	for host, step := range wave.Hosts {
		switch step {
		case inventory.StepReturned:
			status.Done = append(status.Done, host)
		case inventory.StepPending:
			status.Waiting = append(status.Waiting, host)
		case inventory.StepFailed:
			status.Failed = append(status.Failed, host)
		}
	}
	sort.Strings(status.Done)
	sort.Strings(status.Waiting)
	sort.Strings(status.Failed)
	return status
}
