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
	// failShare of what a grey minion starts fails after failAfter. One of the minions is grey for failTime, each
	// failInterval from failAt on.
	failShare    = 0.4
	failAfter    = 150 * time.Millisecond
	failTime     = 6500 * time.Millisecond
	failAt       = 3 * time.Second
	failInterval = 8 * time.Second
	gangTraffic  = 34 * time.Second
	gangInterval = 200 * time.Millisecond
	gangMinions  = 12
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
	for member, at := range g.members {
		if at.fails() {
			time.AfterFunc(failAfter, func() { p.endGang(g, member, "failed") })
			return
		}
	}
	time.AfterFunc(item.work, func() { p.endGang(g, nil, "done") })
}

// endGang ends all members of a gang. If one of them has failed, the others end broken.
func (p *platform) endGang(g *gang, failed *run, how string) {
	p.mu.Lock()
	members := make(map[*run]*minion, len(g.members))
	for r, m := range g.members {
		members[r] = m
	}
	p.mu.Unlock()
	if failed != nil {
		members[failed].end(failed, how)
		delete(members, failed)
		how = "broken"
	}
	for r, m := range members {
		m.end(r, how)
	}
}

// end ends a run.
func (m *minion) end(r *run, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.finish(r, how)
}

// fails reports whether the minion fails a run that it starts now.
func (m *minion) fails() bool {
	until := m.failUntil.Load()
	return until != nil && time.Now().Before(*until) && rand.Float64() < failShare
}

// gangJobs hands in jobs with gangs while minions fail a part of what they start, and checks LOST finish_s after the end of
// the traffic.
func gangJobs(s *scene) bool {
	s.open(gangMinions, 0)
	var accepted []string
	next := failAt
	for began, n := time.Now(), 0; time.Since(began) < gangTraffic; n++ {
		if s.trouble && time.Since(began) > next && time.Since(began) < gangTraffic-failTime {
			minions := s.platform.minions(queuePool)
			m := minions[rand.IntN(len(minions))]
			until := time.Now().Add(failTime)
			m.failUntil.Store(&until)
			next += failInterval
			s.record.line("minion %s fails %v of what it starts for %s", m.id, failShare, failTime)
		}
		id := fmt.Sprintf("%016x", 0x9000000000000000+uint64(n))
		s.platform.addItem(id, itemSpec{need: amount{CPU: gangCPU, MemMb: 1024}, work: gangWork, gang: gangMembers, total: gangMembers})
		if s.submit(id, []stepBody{{"count": gangMembers, "cpu": gangCPU, "memMb": 1024, "estimateMs": gangWork.Milliseconds(), "gang": true}}) == http.StatusOK {
			accepted = append(accepted, id)
		}
		time.Sleep(gangInterval)
	}
	if len(accepted) < 10 {
		fatal("only %d jobs were accepted", len(accepted))
	}
	time.Sleep(finishTime)
	return s.finished(accepted)
}
