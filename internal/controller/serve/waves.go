package serve

import (
	"sort"

	"turmericyoke/internal/fold"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/structs"
)

// waveStatuses returns the progress of the named wave, or of all waves, in order of name.
func waveStatuses(state *fold.State, name string) []structs.WaveStatus {
	list := []structs.WaveStatus{}
	for key, wave := range state.Inventory.Waves {
		if name == "" || name == key {
			list = append(list, waveStatus(wave))
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

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
