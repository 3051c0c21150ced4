package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"turmericyoke/internal/standin/hostsvc"
	"turmericyoke/internal/standin/logsvc"
)

// setFault switches one fault on or off, or sets its value. The requests are POST
// /faults/log-outage?on=true, /faults/log-delay?span=2s, /faults/log-lose-answers?count=3,
// /faults/host-dead?host=NAME&on=true, /faults/rack-dead?rack=NAME&on=true,
// /faults/zone-cut-off?zone=NAME&on=true and /faults/host-list-frozen?on=true. Without on, the fault is
// switched on.
func (p *Platform) setFault(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	on := query.Get("on") != "false"
	switch r.PathValue("switch") {
	case "log-outage":
		p.log.UpdateFaults(func(f *logsvc.Faults) { f.Outage = on })
	case "log-delay":
		delay, err := time.ParseDuration(query.Get("span"))
		if err != nil {
			http.Error(w, "span: want a span with a unit", http.StatusBadRequest)
			return
		}
		p.log.UpdateFaults(func(f *logsvc.Faults) { f.Delay = delay })
	case "log-lose-answers":
		count, err := strconv.Atoi(query.Get("count"))
		if err != nil {
			http.Error(w, "count: want a whole number", http.StatusBadRequest)
			return
		}
		p.log.UpdateFaults(func(f *logsvc.Faults) { f.LoseResponses = count })
	case "host-dead":
		p.hosts.SetDead(hostsvc.ByName(query.Get("host")), on)
	case "rack-dead":
		p.hosts.SetDead(hostsvc.ByRack(query.Get("rack")), on)
	case "zone-cut-off":
		p.hosts.SetPartitioned(hostsvc.ByZone(query.Get("zone")), on)
	case "host-list-frozen":
		p.hosts.SetListFrozen(on)
	default:
		http.Error(w, "unknown switch", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// counts are the counts of the stand-ins since their start.
type counts struct {
	Hosts hostsvc.Counts `json:"hosts"`
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(counts{Hosts: p.hosts.Counts()})
}
