package failuredetector

import (
	"cmp"
	"slices"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// probe is a connection to a stage that is being opened.
type probe struct {
	stage   Stage
	begun   time.Duration
	lenient time.Duration // it does not count as unanswered before
	sent    int           // connections begun
	// answered is how long the answer took, valid if done is set.
	answered time.Duration
	done     bool
	refused  bool
}

func (d *Detector) beginProbe(stage Stage) {
	if d.probes[stage.Address] == nil {
		d.probes[stage.Address] = &probe{stage: stage, begun: d.clock}
	}
}

// dueProbes returns the addresses to which connections are to be opened now.
func (d *Detector) dueProbes() []deployment.Address {
	var due []deployment.Address
	for address, p := range d.probes {
		if !p.done && p.sent < maxConnections && d.clock-p.begun >= time.Duration(p.sent)*probeAgain {
			p.sent++
			due = append(due, address)
		}
	}
	slices.Sort(due)
	return due
}

// Answered records that a stage has accepted the connection of a probe.
func (d *Detector) Answered(now time.Time, address deployment.Address) {
	delete(d.reports, address)
	if p := d.probes[address]; p != nil && !p.done {
		p.done, p.answered = true, d.at(now)-p.begun
	}
}

// Refused records that a stage has refused the connection of a probe. The caller finds out
// whether its process has ended.
func (d *Detector) Refused(_ time.Time, address deployment.Address) {
	if p := d.probes[address]; p != nil && !p.done {
		p.done, p.refused = true, true
	}
}

// zoneProbes sums up the open probes of a zone.
type zoneProbes struct {
	slowest    time.Duration // answer; a slow link delays the answers of all stages of a zone
	latest     time.Duration // when the latest answer came
	unanswered int
}

// timeout returns how long a probe of the zone may take.
func (z zoneProbes) timeout() time.Duration {
	return min(maxProbeTimeout, max(probeTimeout, slowLinkFactor*z.slowest))
}

func (d *Detector) probesByZone() map[deployment.Zone]zoneProbes {
	if len(d.probes) == 0 {
		return nil
	}
	zones := map[deployment.Zone]zoneProbes{}
	for _, p := range d.probes {
		zone := zones[p.stage.Zone]
		switch {
		case !p.done:
			zone.unanswered++
		case !p.refused:
			zone.slowest = max(zone.slowest, p.answered)
			zone.latest = max(zone.latest, p.begun+p.answered)
		}
		zones[p.stage.Zone] = zone
	}
	return zones
}

// settleProbes ends the probes whose time is over, and returns the stages that are suspected.
// Answered probes stay open as long as others of their time, whose results they decide.
func (d *Detector) settleProbes() []Suspicion {
	zones := d.probesByZone()
	var suspected []Suspicion
	for address, p := range d.probes {
		zone := zones[p.stage.Zone]
		waited := d.clock - p.begun
		if waited < zone.timeout() || !p.done && d.clock < p.lenient {
			continue
		}
		if !p.done && d.signFrom(zone, p) && !d.passed(p) {
			suspected = append(suspected, Suspicion{Address: address, Waited: waited})
		}
		delete(d.reports, address)
		delete(d.probes, address)
	}
	slices.SortFunc(suspected, func(a, b Suspicion) int { return cmp.Compare(a.Address, b.Address) })
	return suspected
}

// signFrom reports whether another stage of a probe's zone has answered since the probe began, or
// a stream that starts in that zone and does not pass through the stage has gone on. Otherwise the
// fault may be this instance's own.
func (d *Detector) signFrom(zone zoneProbes, p *probe) bool {
	if zone.latest >= p.begun {
		return true
	}
	if zone.unanswered > maxStreamSign {
		return false
	}
	for _, s := range d.streams {
		if s.started && s.last >= p.begun && s.path[0].Zone == p.stage.Zone && !s.passes(p.stage.Address) {
			return true
		}
	}
	return false
}

// passed reports whether a stream through the stage of a probe has gone on while the probe was
// open. An event right after its start may have passed the stage before that was lost.
func (d *Detector) passed(p *probe) bool {
	for _, s := range d.streams {
		if s.started && s.last >= p.begun+probeAgain && s.passes(p.stage.Address) {
			return true
		}
	}
	return false
}

// Reported records that a peer suspects a stage or takes it for ended. It reports whether own
// streams pass through the stage. The next step then probes it.
func (d *Detector) Reported(now time.Time, address deployment.Address) bool {
	if _, used := d.stage(address); !used {
		return false
	}
	if _, known := d.reports[address]; !known {
		d.reports[address] = d.at(now)
	}
	return true
}

// settleReports returns the stages of reports that the silence of own streams confirms. A stage
// that answers a probe is not among them.
func (d *Detector) settleReports() []Suspicion {
	var accepted []Suspicion
	zones := d.probesByZone()
	for address, at := range d.reports {
		stage, used := d.stage(address)
		if !used || d.clock-at > reportAge {
			delete(d.reports, address)
			continue
		}
		d.beginProbe(stage)
		p := d.probes[address]
		waited := d.clock - p.begun
		if !p.done && waited >= max(reportedTimeout, zones[stage.Zone].slowest) && d.clock >= p.lenient && d.silentThrough(address) {
			delete(d.reports, address)
			accepted = append(accepted, Suspicion{Address: address, Reported: true, Waited: waited})
		}
	}
	slices.SortFunc(accepted, func(a, b Suspicion) int { return cmp.Compare(a.Address, b.Address) })
	return accepted
}

// stage returns a stage of an own stream's path.
func (d *Detector) stage(address deployment.Address) (Stage, bool) {
	for _, s := range d.streams {
		for _, stage := range s.path {
			if stage.Address == address {
				return stage, true
			}
		}
	}
	return Stage{}, false
}

// silentThrough reports whether the own streams through a stage are silent: one by its typical
// interval, and all others for minSilence.
func (d *Detector) silentThrough(address deployment.Address) bool {
	silent := false
	for _, s := range d.streams {
		if !s.started || !s.passes(address) {
			continue
		}
		if d.clock-s.last < minSilence {
			return false
		}
		silent = silent || d.clock-s.last >= s.threshold()
	}
	return silent
}
