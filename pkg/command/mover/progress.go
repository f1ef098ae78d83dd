package mover

import "time"

// stage is one stage of a move.
type stage int

const (
	// introduction brings the new version a few requests while its upstreams start, so that
	// errors show at once.
	introduction stage = iota
	// acquaintance brings it the objects of the trial, which its upstreams do not know yet and
	// serve slower at first.
	acquaintance
	// trial brings it enough requests to judge how long its answers take.
	trial
	// judgement waits until the requests of the trial have been answered or are late.
	judgement
	// quarter, half and whole bring it that fraction of the requests.
	quarter
	half
	whole
)

// stageNames holds the names of the stages for logs.
var stageNames = []string{
	introduction: "Introduction",
	acquaintance: "Acquaintance",
	trial:        "Trial",
	judgement:    "Judgement",
	quarter:      "Quarter",
	half:         "Half",
	whole:        "Whole",
}

const (
	// minShare is the fraction of the requests in the introduction, and the least in the trial
	// and the judgement.
	minShare = 0.05
	// judgementShare is the ratio between the share in the judgement and that in the trial.
	judgementShare = 0.33
	// maxTrialShare is the largest fraction of the requests in the trial.
	maxTrialShare = 0.5
	// trialRequests is how many requests the trial is to bring to the new version.
	trialRequests = 35
	// sequentialTrialRequests is the same with the sequential test, which needs more to show a
	// good version. With 60, 1 in 40 bad versions got more requests than allowed in seeded moves.
	sequentialTrialRequests = 55
	// latestSequence is the fraction of the time allowed from which on the sequential test need not
	// have shown a good version, if it does not lean to a slow one.
	latestSequence = 0.66
	// acquaintanceTime and trialTime are the fractions of the time allowed that these stages
	// take.
	acquaintanceTime = 0.08
	trialTime        = 0.2
	// earliestWarm is the fraction of the time allowed that the introduction takes at least,
	// so that the rate of requests is known.
	earliestWarm = 0.15
	// latestWarm is the fraction of the time allowed at which the introduction ends even if the
	// new version's upstreams are still cold.
	latestWarm = 0.3
	// earliestJudged is the fraction of the time allowed before which no trial ends, so that a
	// fault that appears late hits few requests before it is found.
	earliestJudged = 0.42
	// latestJudged is the fraction of the time allowed at which less evidence is enough.
	latestJudged = 0.6
	// stageTime is the fraction of the time allowed that the stages quarter and half take
	// each, and longStageTime the same while fewer than enoughInStage attempts at the new
	// version have been answered in the stage.
	stageTime     = 0.06
	longStageTime = 0.1
	enoughInStage = 30
	// enoughTimed is how many timed attempts at the new version end a trial early.
	enoughTimed = 40
	// enoughRequests is how many answered attempts at the new version end a trial late.
	enoughRequests = 10
	// harmlessRequests is a number of requests that a bad version may get unseen. A move of
	// a service that has fewer requests left goes on without evidence.
	harmlessRequests = 40
)

// Progress is how far a running move has come. The zero value is its beginning. It is
// immutable.
type Progress struct {
	stage stage
	// stageBeganAt is the time from the beginning of the move to that of the stage.
	stageBeganAt time.Duration
	// trialShare is the fraction of the requests in the acquaintance and the trial; 0 before.
	trialShare float64
	// before is the evidence at the beginning of the stage. It is not modified.
	before []Evidence
	// sequence is the sequential test of slow answers; the zero value while it is off.
	sequence sequence
}

// SlowLogs returns the logarithms of the odds by which the sequential test speaks against a good
// version, and against a slow one. From 4.6 on, the test has shown the opposite.
func (p Progress) SlowLogs() (againstGood, againstSlow float64) {
	return meanOfLogs(p.sequence.slow[:]), meanOfLogs(p.sequence.good[:])
}

// WithEvidence returns the progress with the sequential test of slow answers up to a situation. It
// is called once for each situation before Decide.
func (p Progress) WithEvidence(situation Situation) Progress {
	if situation.SlowExcess > 0 {
		p.sequence = p.sequence.with(situation.Evidence, situation.SlowExcess)
	}
	return p
}

// String returns the name of the stage.
func (p Progress) String() string {
	return stageNames[p.stage]
}

// Share returns the fraction of the service's requests that the new version is to get.
func (p Progress) Share() float64 {
	switch p.stage {
	case acquaintance, trial:
		return p.trialShare
	case judgement:
		return max(p.trialShare*judgementShare, minShare)
	case quarter:
		return 0.25
	case half:
		return 0.5
	case whole:
		return 1
	default:
		return minShare
	}
}

// CapacityShare returns the fraction of the service's requests that the new version's upstreams
// in use are to serve. It does not shrink after the trial: objects would go to upstreams that
// do not know them.
func (p Progress) CapacityShare() float64 {
	return max(p.Share(), p.trialShare)
}

// Timed reports whether the durations of attempts are compared: not before the trial.
func (p Progress) Timed() bool {
	return p.stage >= trial
}

// Introduced reports whether the introduction has ended.
func (p Progress) Introduced() bool {
	return p.stage > introduction
}

// Unsettled reports whether the stage brings the new version objects that are new to its
// upstreams after the trial. The first answers about them take longer.
func (p Progress) Unsettled() bool {
	return p.stage >= quarter
}

// Next returns the progress that follows in a situation in which Decide returns Running: that
// at the beginning of another stage, or p itself and false. A stage does not follow before
// the one before it has brought evidence that is good. Doubt that comes up later leads back
// to the judgement.
func (p Progress) Next(situation Situation) (next Progress, advanced bool) {
	switch {
	case p.inRamp() && p.doubtfulInRamp(situation):
		return p.enter(judgement, situation), true
	case p.mayEnd(situation):
		return p.enter(p.stage+1, situation), true
	default:
		return p, false
	}
}

// inRamp reports whether the new version has been judged good, and gets a growing part of the
// requests.
func (p Progress) inRamp() bool {
	return p.stage == quarter || p.stage == half
}

// doubtfulInRamp reports whether the evidence, or what has come of it in this stage, speaks
// against the new version.
func (p Progress) doubtfulInRamp(situation Situation) bool {
	late := total(since(p.before, situation.Evidence))
	return p.seemsBad(situation) || late.failures().exceeds(maybeFailingLately)
}

// enter returns the progress at the beginning of a stage.
func (p Progress) enter(stage stage, situation Situation) Progress {
	p.stage = stage
	p.stageBeganAt = situation.Elapsed
	p.before = situation.Evidence
	if stage == acquaintance {
		p.trialShare = trialShare(situation)
	}
	return p
}

// mayEnd reports whether the stage may end.
func (p Progress) mayEnd(situation Situation) bool {
	if p.stage < judgement && situation.joinedLate() {
		return true
	}
	inStage := situation.Elapsed - p.stageBeganAt
	switch p.stage {
	case introduction:
		return situation.at(earliestWarm) && (situation.Warm || situation.at(latestWarm))
	case acquaintance:
		return inStage >= situation.fraction(acquaintanceTime)
	case trial:
		return inStage >= situation.fraction(trialTime)
	case judgement:
		return p.judgedGood(situation)
	case quarter, half:
		return inStage >= situation.fraction(stageTime) && p.isSeen(situation, inStage)
	default:
		return false
	}
}

// isSeen reports whether the stage has brought evidence, or has taken so long that few
// requests come.
func (p Progress) isSeen(situation Situation, inStage time.Duration) bool {
	seen := total(situation.Evidence).New.Requests - total(p.before).New.Requests
	return seen >= enoughInStage || inStage >= situation.fraction(longStageTime)
}

// trialShare returns the fraction of the service's requests that is to bring trialRequests
// to the new version in trialTime, by the requests so far; minShare if none are known.
func trialShare(situation Situation) float64 {
	expected := requestsIn(situation, situation.fraction(trialTime))
	if expected == 0 {
		return minShare
	}
	wanted := float64(trialRequests)
	if situation.SlowExcess > 0 {
		wanted = sequentialTrialRequests
	}
	return min(max(wanted/expected, minShare), maxTrialShare)
}

// requestsIn returns how many requests for the service are expected in a time.
func requestsIn(situation Situation, span time.Duration) float64 {
	sum := total(situation.Evidence)
	if situation.Elapsed <= 0 {
		return 0
	}
	return float64(sum.New.Sent+sum.Old.Sent) * span.Seconds() / situation.Elapsed.Seconds()
}

// judgedGood reports whether the trial has brought enough evidence, and it does not speak
// against the new version. From latestJudged on, less evidence is enough, and none is needed
// if so few requests are left that a bad version could not harm many.
func (p Progress) judgedGood(situation Situation) bool {
	if !situation.at(earliestJudged) || p.seemsBad(situation) {
		return false
	}
	if situation.SlowExcess > 0 && !situation.at(latestSequence) && !p.sequence.showsGood() {
		return false
	}
	tried := total(situation.Evidence).New
	if tried.Timed >= enoughTimed {
		return true
	}
	if !situation.at(latestJudged) {
		return false
	}
	left := requestsIn(situation, situation.Allowed-situation.Elapsed)
	return tried.Requests >= enoughRequests || left <= harmlessRequests
}

// seemsBad reports whether the evidence speaks against the new version, even if too little shows it.
// The sums over the whole move may do so because a burst has hit more of the new version's
// requests; the sequential test compares what was sent at the same time.
func (p Progress) seemsBad(situation Situation) bool {
	evidence := situation.Evidence
	switch {
	case situation.SlowExcess == 0:
		return Doubtful(evidence)
	case underexposed(evidence) || maybeFails(evidence) || p.sequence.leansSlow():
		return true
	default:
		return p.sequence.mayBeSlow() && Doubtful(evidence)
	}
}

// onTrial reports whether the new version has not been judged yet.
func (p Progress) onTrial() bool {
	return p.stage <= judgement
}

// faulty returns the first route on which the evidence shows a fault, or false.
func (p Progress) faulty(evidence []Evidence) (route string, faulty bool) {
	if p.stage == whole {
		return faultyInWhole(evidence)
	}
	return Faulty(evidence)
}

// doubtful reports whether the evidence speaks against the new version. Once it gets all
// requests, the other versions have none to compare the time of its answers with, and how
// long they took in the trial has been judged.
func (p Progress) doubtful(situation Situation) bool {
	if p.stage == whole {
		return maybeFails(situation.Evidence)
	}
	return p.seemsBad(situation)
}

// finished reports whether a move whose new version is neither faulty nor doubtful is
// done: all traffic goes to the new version, and the old versions have had their time to
// finish the requests in progress. That time ends reportTime before the deadline at the latest.
func (p Progress) finished(situation Situation) bool {
	if p.stage != whole {
		return false
	}
	return situation.Elapsed >= min(p.stageBeganAt+drainTime, situation.Allowed-reportTime)
}
