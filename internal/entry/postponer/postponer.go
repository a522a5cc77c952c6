// Package postponer decides after which time refused callers should return.
//
// It answers crests of load, in which all instances refuse at the same moment: callers that
// return together find the slots taken once more. Each is told the time at which a slot is
// predicted to be free for it, behind those that were told to return before, so that returning
// callers arrive at the rate at which slots are released.
package postponer

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minDelay is the shortest delay: until then the counts that led to the refusal have hardly
	// changed.
	minDelay = 100 * time.Millisecond
	// maxDelay bounds the delay given to callers for which no slot is in sight.
	maxDelay = 10 * time.Second
	// unknownDelay and unknownSpread are the delay and the random time added to it while nothing
	// can be predicted.
	unknownDelay  = 300 * time.Millisecond
	unknownSpread = 700 * time.Millisecond
	// roomStep is the interval at which forecast room is looked at.
	roomStep = 100 * time.Millisecond
	// releasesPerReturn is the number of released slots of which one is left to a returning caller,
	// as new ones go on to arrive, while the load isn't forecast.
	releasesPerReturn = 4
	// maxExpected bounds the returning callers that are remembered.
	maxExpected = 4096
)

// Outlook is what an instance expects of the slots that a refused caller could get.
type Outlook struct {
	// Wait predicts the wait of a request behind a number of others, or returns false if there
	// is nothing to wait for.
	Wait func(ahead int) (time.Duration, bool)
	// Room forecasts the number of requests per second that can be served beside those of new callers at a
	// time, or returns false if it isn't known. It may be nil.
	Room func(at time.Time) (perSecond float64, ok bool)
	// PeersReturning is the number of callers that other instances expect to return.
	PeersReturning int
	// Instances is the number of instances, 1 or more, and Lag the age of what they state.
	Instances int
	Lag       time.Duration
	// Honoured is the longest delay that the caller honours; 0 if that isn't known.
	Honoured time.Duration
}

// Postponer remembers when the callers that it postponed are expected. It takes no lock.
type Postponer struct {
	// expected is in the order of the refusals.
	expected []expectation
}

// expectation is when a caller that was refused at a time returns.
type expectation struct {
	refused, due time.Time
}

// Returning returns the number of callers that are expected to return.
func (p *Postponer) Returning(now time.Time) int {
	p.expected = slices.DeleteFunc(p.expected, func(e expectation) bool { return !e.due.After(now) })
	return len(p.expected)
}

// Postpone returns the delay after which a caller that is refused now should return. It is longer than
// the caller honours if no slot is predicted to be free before.
func (p *Postponer) Postpone(now time.Time, o Outlook) time.Duration {
	ahead := p.Returning(now) + o.PeersReturning + p.countUnseen(now, o)
	delay, ok := o.Wait(releasesPerReturn * ahead)
	if !ok {
		return unknownDelay + rand.N(unknownSpread)
	}
	spread := minDelay / 2
	if last, ok := o.Wait(releasesPerReturn * (ahead + o.Instances)); ok {
		spread = max(spread, last-delay)
	}
	delay = max(delay, minDelay)
	if room, ok := o.timeOfRoom(now, ahead+1); ok {
		delay = max(room, minDelay)
	}
	isHonoured := delay <= o.Honoured
	delay += rand.N(spread)
	if isHonoured {
		delay = min(delay, o.Honoured)
	}
	delay = min(delay, maxDelay)
	p.expect(now, delay, o.Honoured)
	return delay
}

// countUnseen estimates how many callers the other instances have refused within the lag, which this one
// doesn't know of yet: each as many as this one.
func (p *Postponer) countUnseen(now time.Time, o Outlook) int {
	own := 0
	for _, e := range p.expected {
		if now.Sub(e.refused) < o.Lag {
			own++
		}
	}
	return own * max(0, o.Instances-1)
}

// timeOfRoom returns the delay after which count callers find room beside new ones by the forecast. It
// returns false without a forecast, or if there isn't enough room within the delay that the caller
// honours.
func (o Outlook) timeOfRoom(now time.Time, count int) (time.Duration, bool) {
	if o.Room == nil {
		return 0, false
	}
	served := 0.0
	for delay := time.Duration(0); delay <= o.Honoured; delay += roomStep {
		perSecond, ok := o.Room(now.Add(delay))
		if !ok {
			return 0, false
		}
		served += max(0, perSecond) * roomStep.Seconds()
		if served >= float64(count) {
			return delay, true
		}
	}
	return 0, false
}

// expect remembers a caller that returns after the delay, or earlier if it doesn't honour all of it.
func (p *Postponer) expect(now time.Time, delay, honoured time.Duration) {
	if len(p.expected) >= maxExpected {
		return
	}
	if honoured > 0 {
		delay = min(delay, honoured)
	}
	p.expected = append(p.expected, expectation{refused: now, due: now.Add(delay)})
}
