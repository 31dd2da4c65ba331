package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"banyanrun.example/banyanrun/core"
)

// requestSlot is the place of a request among those in progress.
type requestSlot struct {
	slots chan struct{}
	taken bool
}

// take makes the request count as in progress. It returns a refusal if the limit is
// reached.
func (s *requestSlot) take() *core.Refusal {
	select {
	case s.slots <- struct{}{}:
		s.taken = true
		return nil
	default:
		return &core.Refusal{
			Reason: core.ReasonQueueFull, RetryAfter: time.Second,
			Message: fmt.Sprintf("limit of %d requests in progress reached", cap(s.slots)),
		}
	}
}

func (s *requestSlot) release() {
	if s.taken {
		<-s.slots
	}
}

// requestSlotKey is the context key of a request's slot.
type requestSlotKey struct{}

// requestSlotOf returns the slot of a request, or nil if it is not limited.
func requestSlotOf(r *http.Request) *requestSlot {
	slot, _ := r.Context().Value(requestSlotKey{}).(*requestSlot)
	return slot
}

// limitRequests refuses requests beyond the limit on requests in progress. A request
// with a body takes its slot when the body is complete, so that clients which do not
// finish theirs take none; readBody does that.
func (d *Daemon) limitRequests(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		slot := &requestSlot{slots: d.requestSlots}
		defer slot.release()
		if r.Method == http.MethodPost || r.Method == http.MethodPut {
			next(w, r.WithContext(context.WithValue(r.Context(), requestSlotKey{}, slot)), p)
			return
		}
		if refusal := slot.take(); refusal != nil {
			writeRefusal(w, refusal)
			return
		}
		next(w, r, p)
	}
}
