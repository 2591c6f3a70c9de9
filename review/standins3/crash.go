package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stableWindow is stable-window-ms, and mostRetries the retries that may reach runners later than that
	// after the third crash, by the rule.
	stableWindow = 3 * time.Second
	mostRetries  = 3
	// crashPlayTime is how long the harmful request comes again and again, each againAfter an answer.
	crashPlayTime = 45 * time.Second
	againAfter    = time.Second
	harmfulBody   = "harmful request, the same each time"
	loadTimeout   = 20 * time.Second
)

var errUnserved = errors.New("sound requests were not served before the harmful one")

// playCrashAfterEvent lets a streaming request crash each runner that begins to run it, right after its first
// event.
func playCrashAfterEvent(p *play) (bool, error) {
	if err := p.startModel(); err != nil {
		return false, err
	}
	sound := attempt{method: http.MethodPost, path: streamPath + "2f", key: apiKey, deadline: 20 * time.Second, stream: true}
	harmful := sound
	harmful.body = harmfulBody
	return p.playCrash(sound, crashesAfterEvent, func(int) attempt { return harmful })
}

// playCrashQuery lets a request of a plain service crash each runner that begins to run it. It comes again with
// the same path, caller and body, and another query.
func playCrashQuery(p *play) (bool, error) {
	if err := p.startPlain(); err != nil {
		return false, err
	}
	sound := attempt{method: http.MethodPost, path: unsafePath + "2f", key: apiKey, deadline: 1500 * time.Millisecond}
	harmful := sound
	harmful.body = harmfulBody
	return p.playCrash(sound, crashesAtBegin, func(number int) attempt {
		again := harmful
		again.path = fmt.Sprintf("%s2f?try=%d", unsafePath, number)
		return again
	})
}

// playCrashSlow lets an idempotent request of a plain service crash each runner that has run it for
// lateCrashDelay. The runners go on with a request whose caller has left, until its deadline. The instances
// leave a slow attempt before, and send the request to another runner.
func playCrashSlow(p *play) (bool, error) {
	return p.playSlow(safePath)
}

// playCrashSlowControl is playCrashSlow with a route whose requests the instances send to one runner only.
func playCrashSlowControl(p *play) (bool, error) {
	return p.playSlow(unsafePath)
}

func (p *play) playSlow(path string) (bool, error) {
	if err := p.startPlain(); err != nil {
		return false, err
	}
	sound := attempt{method: http.MethodPost, path: path + "2f", key: apiKey, deadline: 1500 * time.Millisecond}
	harmful := sound
	harmful.body = harmfulBody
	return p.playCrash(sound, crashesLate, func(int) attempt { return harmful })
}

// playCrashEventControl is playCrashAfterEvent with runners that crash before the first event.
func playCrashEventControl(p *play) (bool, error) {
	if err := p.startModel(); err != nil {
		return false, err
	}
	sound := attempt{method: http.MethodPost, path: streamPath + "2f", key: apiKey, deadline: 20 * time.Second, stream: true}
	harmful := sound
	harmful.body = harmfulBody
	return p.playCrash(sound, crashesAtBegin, func(int) attempt { return harmful })
}

// startPlain starts two instances before three runners of the plain service.
func (p *play) startPlain() error {
	if err := p.start(configurationOf(1, tenants), 2); err != nil {
		return err
	}
	return p.addRunners(plainService, 3)
}

// startModel starts two instances before nine runners of the model.
func (p *play) startModel() error {
	if err := p.start(configurationOf(1, tenants), 2); err != nil {
		return err
	}
	return p.addRunners(modelService, 9)
}

func (p *play) addRunners(service string, count int) error {
	for range count {
		if err := p.fleet.add(service, ""); err != nil {
			return err
		}
	}
	return nil
}

// playCrash sends sound requests all the time and, after a while, a harmful one again and again, to the
// instances in turn. Without the disruption that does no harm.
func (p *play) playCrash(sound attempt, how harm, harmful func(number int) attempt) (bool, error) {
	p.fleet.keepsOn = how == crashesLate
	p.fleet.harmOf = func(_ *http.Request, body string) harm {
		if p.trouble && body == harmfulBody {
			return how
		}
		return harmless
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	if err := p.awaitModel(sound); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var sent, whole atomic.Int64
	clients.Go(func() { p.sendSound(stop, sound, &sent, &whole) })
	time.Sleep(3 * time.Second)
	served := whole.Load() > 0
	for number, until := 1, time.Now().Add(crashPlayTime); time.Now().Before(until); number++ {
		got := send(p.instances[number%len(p.instances)].front, harmful(number))
		p.record.note("harmful %s", got)
		time.Sleep(max(againAfter, min(got.retryAfter, harmful(number).deadline/3)))
	}
	close(stop)
	clients.Wait()
	p.record.note("sound requests: %d sent, %d answered whole", sent.Load(), whole.Load())
	if !served {
		return false, errUnserved
	}
	return p.judgeCrashes(), nil
}

// awaitModel waits until runners serve sound requests.
func (p *play) awaitModel(sound attempt) error {
	for until := time.Now().Add(loadTimeout); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if sound.stream && !p.fleet.holdsModel() {
			continue
		}
		sound.body = "first"
		if got := send(p.instances[0].front, sound); got.status == http.StatusOK && got.whole {
			return nil
		}
	}
	return errUnserved
}

// sendSound sends four sound requests a second, each with a body of its own.
func (p *play) sendSound(stop <-chan struct{}, sound attempt, sent, whole *atomic.Int64) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
		clients.Go(func() {
			one := sound
			one.body = fmt.Sprintf("sound request %d", number)
			sent.Add(1)
			if got := send(p.instances[number%len(p.instances)].front, one); got.status == http.StatusOK && got.whole && got.signed {
				whole.Add(1)
			}
		})
	}
}

// judgeCrashes reports whether the harmful request reached runners in more than mostRetries retries, sent later
// than stableWindow after it had crashed the third. Attempts at several runners for one attempt of the client
// count as one.
func (p *play) judgeCrashes() bool {
	crashes := p.fleet.crashes()
	p.record.note("%d runners have crashed", len(crashes))
	if len(crashes) < 3 {
		return false
	}
	late := map[string]bool{}
	for _, r := range p.fleet.runsOf() {
		if r.harmful && r.at.After(crashes[2].Add(stableWindow)) {
			late[r.request] = true
		}
	}
	p.record.note("retries that reached a runner later than %s after the third crash: %d, at most %d are allowed", stableWindow, len(late), mostRetries)
	return len(late) > mostRetries
}
