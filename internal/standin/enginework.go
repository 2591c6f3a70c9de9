package standin

import (
	"sort"
	"time"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/internal/runner"
)

// work runs batch after batch.
func (e *Engine) work() {
	for {
		batch, cost := e.nextBatch()
		if cost > 0 {
			time.Sleep(cost)
		}
		for _, j := range batch {
			if reply, ok := e.run(&j.step, time.Now()); ok {
				j.reply(reply)
			}
		}
	}
}

func (e *Engine) nextBatch() ([]job, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.queue) == 0 {
		e.wake.Wait()
	}
	now := time.Now()
	e.history = append(e.history, loadSample{at: now, queued: len(e.queue)})
	if len(e.history) > engineLoadHistory {
		e.history = e.history[1:]
	}
	sort.SliceStable(e.queue, func(i, j int) bool { return e.queue[i].step.Priority > e.queue[j].step.Priority })
	n := min(len(e.queue), engineMaxBatch)
	batch := append([]job(nil), e.queue[:n]...)
	e.queue = append(e.queue[:0], e.queue[n:]...)
	cost := e.config.BatchCost
	for i := range batch {
		cost += time.Duration(e.uncached(&batch[i].step)) * e.config.TokenCost
	}
	if e.faults.SlowFactor > 1 {
		cost *= time.Duration(e.faults.SlowFactor)
	}
	return batch, cost
}

// uncached counts the positions of a step whose prefix is not cached, and
// caches them.
func (e *Engine) uncached(step *runner.Step) int {
	if step.Position != 0 || step.Count() < prefixBlock {
		return step.Count()
	}
	cached := 0
	for i, h := range prefixHashes(step) {
		if _, ok := e.prefixes[h]; ok && cached == i*prefixBlock {
			cached += prefixBlock
		}
		e.keepPrefix(h, time.Now())
	}
	return step.Count() - cached
}

// keepPrefix puts a block into the prefix cache, in place of another when it is
// full.
func (e *Engine) keepPrefix(block uint64, now time.Time) {
	if _, ok := e.prefixes[block]; ok {
		return
	}
	if len(e.prefixes) >= prefixCacheSize {
		for old := range e.prefixes {
			delete(e.prefixes, old)
			e.cache.add(now, old, true)
			break
		}
	}
	e.prefixes[block] = struct{}{}
	e.cache.add(now, block, false)
}

func (e *Engine) run(step *runner.Step, now time.Time) (runner.Reply, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashIfMarked(step)
	reply := runner.Reply{
		Session: step.Session, Epoch: step.Epoch, Position: step.Position,
		Range: e.config.Range, Version: e.version,
	}
	reply.Status = e.admit(step)
	if reply.Status != runner.StepOK {
		return reply, true
	}
	key := sessionKey{step.Session, step.Epoch}
	if step.Position == 0 && e.sessions[key] == nil {
		e.expireSessions(now)
		e.sessions[key] = &stageSession{kv: hashmodel.NewKV(e.config.Range.First, e.config.Range.End)}
	}
	s := e.sessions[key]
	s.used = now
	if step.Position == s.last.Position && s.next > step.Position {
		e.repeats++
		return s.last, true
	}
	e.compute(step, s, &reply)
	if e.faults.DropReplies > 0 {
		e.faults.DropReplies--
		return reply, false
	}
	return reply, true
}

func (e *Engine) admit(step *runner.Step) runner.StepStatus {
	key := sessionKey{step.Session, step.Epoch}
	s := e.sessions[key]
	switch {
	case step.Range != e.config.Range || step.Model != e.config.Model || step.Version != e.version || e.loading:
		return runner.StepWrongModel
	case s == nil && step.Position > 0:
		return runner.StepUnknownSession
	case s == nil && e.faults.Leaving:
		return runner.StepLeaving
	case s != nil && step.Position != s.next && step.Position != s.last.Position:
		return runner.StepOutOfOrder
	}
	return runner.StepOK
}

func (e *Engine) compute(step *runner.Step, s *stageSession, reply *runner.Reply) {
	inputs := step.Hidden
	for _, t := range step.Tokens {
		inputs = append(inputs, hashmodel.Embed(string(e.version), t))
	}
	outputs := make([]hashmodel.Hidden, len(inputs))
	for i, h := range inputs {
		outputs[i] = s.kv.Run(h)
	}
	e.steps += uint64(len(inputs))
	s.next = step.Position + runner.Position(len(inputs))
	if e.config.Range.End == e.config.Layers {
		reply.Token = hashmodel.Pick(outputs[len(outputs)-1])
	} else {
		reply.Hidden = outputs
	}
	s.last = *reply
}

func (e *Engine) crashIfMarked(step *runner.Step) {
	crash := false
	if e.faults.CrashWord != "" {
		marked := hashmodel.Tokenize(e.faults.CrashWord)[0]
		for _, t := range step.Tokens {
			crash = crash || t == marked
		}
	}
	if e.faults.CrashAfterSteps > 0 {
		e.faults.CrashAfterSteps--
		crash = crash || e.faults.CrashAfterSteps == 0
	}
	if crash {
		e.config.Crash()
	}
}

func (e *Engine) expireSessions(now time.Time) {
	for key, s := range e.sessions {
		if now.Sub(s.used) > sessionIdle {
			delete(e.sessions, key)
		}
	}
}
