package core

import "time"

const (
	// rememberCalls is how long the outcome of a non-idempotent call answers a
	// repeated request.
	callOutcomeTTL = 2 * time.Minute
	// maxRemembered bounds the calls that are remembered.
	maxRememberedCalls = 16384
	// maxRememberedBytes bounds the answers that are remembered.
	maxRememberedBytes = 8 << 20
)

// CallAnswer is the whole answer of a call as it was given to the caller.
type CallAnswer struct {
	Status      int
	ContentType string
	Worker      WorkerID
	Body        []byte
}

// CallKey names a call of a caller.
type CallKey struct {
	Team TeamName
	Kind KindName
	ID   string
}

// RememberedCall is what is known of a call.
type RememberedCall struct {
	// Running is set until the call has ended.
	Running bool
	// Digest is that of the first request's content.
	Digest  uint64
	Answer  *CallAnswer
	Refusal *Refusal
}

// CallMemory lets a repeated request for a non-idempotent call get the outcome of
// the first one. It is a value without locks.
type CallMemory struct {
	calls map[CallKey]RememberedCall
	// ended holds the ended calls in the order of their end.
	ended       []endedCall
	answerBytes int
}

type endedCall struct {
	key     CallKey
	endedAt Time
}

// NewCallMemory returns an empty memory.
func NewCallMemory() *CallMemory { return &CallMemory{calls: map[CallKey]RememberedCall{}} }

// Begin notes that a call begins and reports true, or returns what is known of
// the call that had the same key. Other content under the same key is refused.
func (m *CallMemory) Begin(now Time, key CallKey, digest uint64) (RememberedCall, bool) {
	m.expire(now)
	if known, ok := m.calls[key]; ok {
		if known.Digest != digest {
			return RememberedCall{Refusal: refuse(ReasonDuplicateID,
				"request %q was made before with other content", key.ID)}, false
		}
		return known, false
	}
	m.calls[key] = RememberedCall{Running: true, Digest: digest}
	return RememberedCall{}, true
}

// End notes the outcome of a call. One that has surely not run is forgotten, so
// that the caller may ask again.
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

// expire forgets calls that ended long ago, and the oldest beyond the bounds.
func (m *CallMemory) expire(now Time) {
	n := 0
	for n < len(m.ended) {
		old := now.Sub(m.ended[n].endedAt) > callOutcomeTTL
		if !old && len(m.ended)-n <= maxRememberedCalls && m.answerBytes <= maxRememberedBytes {
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
