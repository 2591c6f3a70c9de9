package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/prove"
)

func teamRequest(now time.Time, team deployment.Team, work float64) *Request {
	r := request(now, middle)
	r.Team, r.Work, r.Deadline = team, work, now.Add(time.Hour)
	return r
}

// admitFirst admits the request that goes first.
func admitFirst(q *Queue, now time.Time) *Request {
	r := q.Ordered(now)[0]
	q.Admit(now, r)
	return r
}

// TestTeamsShareByWork guards against a team that gets more than the others by sending more or
// larger requests: while teams have requests waiting, the work that any two got differs by no more
// than their largest requests.
func TestTeamsShareByWork(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		var q Queue
		const largest = 100
		teams := []deployment.Team{"a", "b", "c"}
		for _, team := range teams {
			least := rapid.IntRange(1, largest).Draw(t, "least")
			for range rapid.IntRange(10, 40).Draw(t, "requests") {
				q.Push(start, teamRequest(start, team, float64(rapid.IntRange(least, largest).Draw(t, "work"))))
			}
		}
		got := map[deployment.Team]float64{}
		for {
			r := admitFirst(&q, start)
			got[r.Team] += r.Work
			waiting := map[deployment.Team]bool{}
			for _, r := range q.waiting {
				waiting[r.Team] = true
			}
			if len(waiting) < len(teams) {
				return
			}
			for _, team := range teams {
				if got[team]-got[r.Team] > 2*largest || got[r.Team]-got[team] > 2*largest {
					t.Fatalf("shares %v", got)
				}
			}
		}
	})
}

// TestFloodDelaysOnlyItsTeam guards against a team whose requests wait behind those of another one
// that has sent many, and against credit for the time in which a team has sent nothing.
func TestFloodDelaysOnlyItsTeam(t *testing.T) {
	var q Queue
	for range 200 {
		q.Push(start, teamRequest(start, "flood", 10))
	}
	for range 50 {
		admitFirst(&q, start)
	}
	for range 20 {
		q.Push(start, teamRequest(start, "calm", 10))
	}
	calm := 0
	for range 20 {
		if admitFirst(&q, start).Team == "calm" {
			calm++
		}
	}
	assert.Assert(t, calm >= 9 && calm <= 11, "%d of 20 admissions", calm)
}

// TestUnderstatedWorkIsCharged guards against a team that gains by stating less than it uses.
func TestUnderstatedWorkIsCharged(t *testing.T) {
	var q Queue
	for range 100 {
		q.Push(start, teamRequest(start, "honest", 100))
		q.Push(start, teamRequest(start, "understates", 10))
	}
	used := map[deployment.Team]float64{}
	for range 60 {
		r := admitFirst(&q, start)
		q.RecordUse(r, 100)
		used[r.Team] += 100
	}
	assert.Assert(t, used["understates"] <= used["honest"]+200, "%v", used)
}

// TestTeamStateIsBounded guards against state that grows with the number of teams.
func TestTeamStateIsBounded(t *testing.T) {
	var q Queue
	for i := range 3 * maxTeams {
		now := start.Add(time.Duration(i) * time.Millisecond)
		r := teamRequest(now, deployment.Team(fmt.Sprint(i)), 10)
		q.Push(now, r)
		q.Admit(now, r)
		assert.Assert(t, len(q.fairness.teams) <= maxTeams)
	}
	assert.Equal(t, len(q.fairness.now), 1)
}

// TestFreeCapacityIsNotCharged guards against a team that is delayed in a shortage for what it used
// while capacity was free.
func TestFreeCapacityIsNotCharged(t *testing.T) {
	var q Queue
	for range 50 {
		q.Admit(start, teamRequest(start, "busy", 10))
	}
	q.Push(start, teamRequest(start, "busy", 10))
	q.Push(start.Add(time.Millisecond), teamRequest(start.Add(time.Millisecond), "other", 10))
	assert.Equal(t, admitFirst(&q, start.Add(2*time.Millisecond)).Team, deployment.Team("busy"))
}
