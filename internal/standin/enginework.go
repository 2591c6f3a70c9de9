package standin

import (
	"sort"
	"time"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/internal/runner"
)

// runBatches executes queued steps in batches and never returns.
func (e *Engine) runBatches() {
	for {
		batch, cost := e.nextBatch()
		if cost > 0 {
			time.Sleep(cost)
		}
		for _, j := range batch {
			if reply, ok := e.runStep(&j.step, time.Now()); ok {
				j.reply(reply)
			}
		}
	}
}

// nextBatch waits for queued steps and returns up to maxBatchSteps of them,
// highest priority first, with the simulated processing time of the batch.
func (e *Engine) nextBatch() ([]queuedStep, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.queue) == 0 {
		e.notEmpty.Wait()
	}
	now := time.Now()
	e.loadHistory = append(e.loadHistory, loadSample{at: now, queued: len(e.queue)})
	if len(e.loadHistory) > maxLoadSamples {
		e.loadHistory = e.loadHistory[1:]
	}
	sort.SliceStable(e.queue, func(i, j int) bool { return e.queue[i].step.Priority > e.queue[j].step.Priority })
	n := min(len(e.queue), maxBatchSteps)
	batch := append([]queuedStep(nil), e.queue[:n]...)
	e.queue = append(e.queue[:0], e.queue[n:]...)
	cost := e.config.BatchCost
	for i := range batch {
		cost += time.Duration(e.uncachedPositions(&batch[i].step)) * e.config.TokenCost
	}
	if e.faults.SlowFactor > 1 {
		cost *= time.Duration(e.faults.SlowFactor)
	}
	return batch, cost
}

// uncachedPositions adds the prefix blocks of a session's first step to the
// prefix cache and returns the number of positions that were not cached before.
// For later steps, and steps shorter than one block (16 positions), it returns the
// step's count.
func (e *Engine) uncachedPositions(step *runner.Step) int {
	if step.Position != 0 || step.Count() < prefixBlockPositions {
		return step.Count()
	}
	cached := 0
	for i, h := range prefixHashes(step) {
		if _, ok := e.prefixes[h]; ok && cached == i*prefixBlockPositions {
			cached += prefixBlockPositions
		}
		e.cachePrefix(h, time.Now())
	}
	return step.Count() - cached
}

// cachePrefix adds a block to the prefix cache. If the cache is full, it evicts
// an arbitrary block.
func (e *Engine) cachePrefix(block uint64, now time.Time) {
	if _, ok := e.prefixes[block]; ok {
		return
	}
	if len(e.prefixes) >= maxPrefixBlocks {
		for old := range e.prefixes {
			delete(e.prefixes, old)
			e.cacheEvents.add(now, old, true)
			break
		}
	}
	e.prefixes[block] = struct{}{}
	e.cacheEvents.add(now, block, false)
}

// runStep executes a step. It returns false if the reply must not be sent.
func (e *Engine) runStep(step *runner.Step, now time.Time) (runner.Reply, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashIfConfigured(step)
	reply := runner.Reply{
		Session: step.Session, Epoch: step.Epoch, Position: step.Position,
		Range: e.config.Range, Version: e.version,
	}
	reply.Status = e.validate(step)
	if reply.Status != runner.StepOK {
		return reply, true
	}
	key := sessionKey{step.Session, step.Epoch}
	if step.Position == 0 && e.sessions[key] == nil {
		e.expireSessions(now)
		e.sessions[key] = &stageSession{kv: hashmodel.NewKV(e.config.Range.First, e.config.Range.End)}
	}
	s := e.sessions[key]
	s.lastUsed = now
	if step.Position == s.lastReply.Position && s.nextPosition > step.Position {
		e.repeats++
		return s.lastReply, true
	}
	e.compute(step, s, &reply)
	if e.faults.DropReplies > 0 {
		e.faults.DropReplies--
		return reply, false
	}
	return reply, true
}

// validate returns the status to reply with, StepOK if the step can be executed.
func (e *Engine) validate(step *runner.Step) runner.StepStatus {
	key := sessionKey{step.Session, step.Epoch}
	s := e.sessions[key]
	switch {
	case step.Range != e.config.Range || step.Model != e.config.Model || step.Version != e.version || e.loading:
		return runner.StepWrongModel
	case s == nil && step.Position > 0:
		return runner.StepUnknownSession
	case s == nil && e.faults.Leaving:
		return runner.StepLeaving
	case s != nil && step.Position != s.nextPosition && step.Position != s.lastReply.Position:
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
	e.computedPositions += uint64(len(inputs))
	s.nextPosition = step.Position + runner.Position(len(inputs))
	if e.config.Range.End == e.config.Layers {
		reply.Token = hashmodel.Pick(outputs[len(outputs)-1])
	} else {
		reply.Hidden = outputs
	}
	s.lastReply = *reply
}

func (e *Engine) crashIfConfigured(step *runner.Step) {
	crash := false
	if e.faults.CrashWord != "" {
		crashToken := hashmodel.Tokenize(e.faults.CrashWord)[0]
		for _, t := range step.Tokens {
			crash = crash || t == crashToken
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
		if now.Sub(s.lastUsed) > sessionIdleTimeout {
			delete(e.sessions, key)
		}
	}
}
