package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// gangMembers work items of a gang need gangCPU each, so that each takes a minion of its own.
	gangMembers = 4
	gangCPU     = 33000
	gangWork    = 400 * time.Millisecond
	gangWait    = 3 * time.Second
	// One minion crashes at crashAt and then each crashInterval, crashes times. Another one runs on its machine after
	// crashTime, and the members of its gangs on other minions end after breakTime.
	crashAt       = 4 * time.Second
	crashInterval = 2500 * time.Millisecond
	crashTime     = 2 * time.Second
	crashes       = 11
	breakTime     = 100 * time.Millisecond
	gangTraffic   = 34 * time.Second
	gangInterval  = 200 * time.Millisecond
	gangMinions   = 12
)

// gang is a run of the gang of a step.
type gang struct {
	members map[*run]*minion
	working bool
}

// stepOf returns the step of a work item, and gangOf the run of its gang.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

func gangOf(r *run) string { return fmt.Sprint(stepOf(r.task), "/", r.number) }

// joinGang adds a run that has begun to its gang, whose members work from when all are present. m.mu must be held.
func (p *platform) joinGang(m *minion, r *run, item itemSpec) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := gangOf(r)
	if p.gangs[key] == nil {
		p.gangs[key] = &gang{members: map[*run]*minion{}}
	}
	g := p.gangs[key]
	g.members[r] = m
	if len(g.members) < item.gang {
		r.timer = time.AfterFunc(gangWait, func() {
			p.mu.Lock()
			working := g.working
			p.mu.Unlock()
			if !working {
				m.end(r, "alone")
			}
		})
		return
	}
	g.working = true
	time.AfterFunc(item.work, func() { p.endGang(g, "done") })
}

// endGang ends all members of a gang that run.
func (p *platform) endGang(g *gang, how string) {
	p.mu.Lock()
	members := make(map[*run]*minion, len(g.members))
	for r, m := range g.members {
		members[r] = m
	}
	p.mu.Unlock()
	for r, m := range members {
		m.end(r, how)
	}
}

// breakGangs ends the other members of the gangs of runs that were lost in a crash.
func (p *platform) breakGangs(lost []*run) {
	for _, r := range lost {
		p.mu.Lock()
		g := p.gangs[gangOf(r)]
		p.mu.Unlock()
		if g != nil {
			p.endGang(g, "broken")
		}
	}
}

// crash crashes a minion of the pool that runs something, chosen at random. It reports whether there was one.
func (p *platform) crash(pool string) bool {
	minions := p.minions(pool)
	rand.Shuffle(len(minions), func(a, b int) { minions[a], minions[b] = minions[b], minions[a] })
	for _, m := range minions {
		m.mu.Lock()
		var lost []*run
		for _, r := range m.running {
			lost = append(lost, r)
		}
		m.mu.Unlock()
		if len(lost) == 0 {
			continue
		}
		p.record.line("minion %s crashes with %d runs", m.id, len(lost))
		machine := p.setDown(m)
		m.stop()
		time.AfterFunc(breakTime, func() { p.breakGangs(lost) })
		time.AfterFunc(missedBeats*heartbeat, func() { p.store.put(serversTopic, m.id, nil) })
		time.AfterFunc(crashTime, func() { p.setUp(machine) })
		return true
	}
	return false
}

// end ends a run.
func (m *minion) end(r *run, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.finish(r, how)
}

// gangJobs hands in jobs with gangs while minions crash, and checks LOST finish_s after the end of the traffic.
func gangJobs(s *scene) bool {
	s.open(gangMinions, 0)
	var accepted []string
	crashed := 0
	for began, n := time.Now(), 0; time.Since(began) < gangTraffic; n++ {
		due := crashAt + time.Duration(crashed)*crashInterval
		if s.trouble && crashed < crashes && time.Since(began) > due && s.platform.crash(queuePool) {
			crashed++
		}
		id := fmt.Sprintf("%016x", 0x9000000000000000+uint64(n))
		s.platform.addItem(id, itemSpec{need: amount{CPU: gangCPU, MemMb: 1024}, work: gangWork, gang: gangMembers, total: gangMembers})
		if s.submit(id, []stepBody{{"count": gangMembers, "cpu": gangCPU, "memMb": 1024, "estimateMs": gangWork.Milliseconds(), "gang": true}}) == http.StatusOK {
			accepted = append(accepted, id)
		}
		time.Sleep(gangInterval)
	}
	if len(accepted) < 10 || s.trouble && crashed < crashes/2 {
		fatal("only %d jobs were accepted, or %d minions crashed", len(accepted), crashed)
	}
	time.Sleep(finishTime)
	return s.finished(accepted)
}
