package core

import "time"

const (
	// callOutcomeTTL is how long the outcome of a non-idempotent call is kept to
	// answer repeated requests.
	callOutcomeTTL = 2 * time.Minute
	// maxRememberedCalls bounds the number of outcomes kept.
	maxRememberedCalls = 16384
	// maxRememberedBytes bounds the total size of the answers kept.
	maxRememberedBytes = 8 << 20
)

// CallAnswer is the complete answer of a call as returned to the caller.
type CallAnswer struct {
	Status      int
	ContentType string
	Worker      WorkerID
	Body        []byte
}

// CallKey identifies a call by its team, kind and request id.
type CallKey struct {
	Team TeamName
	Kind KindName
	ID   string
}

// RememberedCall is the recorded state of a call.
type RememberedCall struct {
	// Running is set until the call has ended.
	Running bool
	// Digest is a hash of the first request's content.
	Digest  uint64
	Answer  *CallAnswer
	Refusal *Refusal
}

// CallMemory deduplicates non-idempotent calls: a repeated request gets the outcome
// of the first one. It has no lock of its own.
type CallMemory struct {
	calls map[CallKey]RememberedCall
	// ended holds the ended calls in the order in which they ended.
	ended       []endedCall
	answerBytes int
}

type endedCall struct {
	key     CallKey
	endedAt Time
}

// NewCallMemory returns an empty memory.
func NewCallMemory() *CallMemory { return &CallMemory{calls: map[CallKey]RememberedCall{}} }

// Begin records the start of a call and returns true, or returns the recorded state
// of the call with the same key and false. The same key with different content is
// refused.
func (m *CallMemory) Begin(now Time, key CallKey, digest uint64) (RememberedCall, bool) {
	m.expire(now)
	if known, ok := m.calls[key]; ok {
		if known.Digest != digest {
			return RememberedCall{Refusal: refuse(ReasonDuplicateID,
				"request %q was already made with different content", key.ID)}, false
		}
		return known, false
	}
	m.calls[key] = RememberedCall{Running: true, Digest: digest}
	return RememberedCall{}, true
}

// End records the outcome of a call. A call that has not run is removed, so that
// the caller may retry it.
func (m *CallMemory) End(now Time, key CallKey, answer *CallAnswer, ref *Refusal) {
	if ref != nil && ref.Verdict == NotRun {
		delete(m.calls, key)
		return
	}
	m.calls[key] = RememberedCall{Digest: m.calls[key].Digest, Answer: answer, Refusal: ref}
	m.ended = append(m.ended, endedCall{key, now})
	if answer != nil {
		m.answerBytes += len(answer.Body)
	}
	m.expire(now)
}

// expire removes calls that ended too long ago, and the oldest ones beyond the
// bounds.
func (m *CallMemory) expire(now Time) {
	n := 0
	for n < len(m.ended) {
		expired := now.Sub(m.ended[n].endedAt) > callOutcomeTTL
		if !expired && len(m.ended)-n <= maxRememberedCalls && m.answerBytes <= maxRememberedBytes {
			break
		}
		if a := m.calls[m.ended[n].key].Answer; a != nil {
			m.answerBytes -= len(a.Body)
		}
		delete(m.calls, m.ended[n].key)
		n++
	}
	m.ended = m.ended[n:]
}
