// Package inputorder decides when the requests of one connection may be carried out while the input behind them is unread.
//
// A connection is read a little at a time, so that no client delays the others. What a client has sent after a request, as
// its withdrawal, may then be unread when the request is. A request therefore waits until its connection has no unread
// input, or until enough of what stood behind it was read. Requests that wait are carried out in their order, a few at a
// time, since the client has decided how many there are.
//
// The package is pure: the caller reports what it reads, and asks which requests are due.
package inputorder

// RequestID is the caller's ID of a request.
type RequestID uint64

// Config has the limits of a Queue.
type Config struct {
	MaxWaitBytes int // input that is read behind a request at most before it is due
	MaxPerStep   int // requests that become due in one call of Due at most
}

// Queue holds the requests of one connection that are not carried out yet. The zero value is empty.
type Queue struct {
	readBytes int64
	waiting   []waitingRequest // oldest first
}

type waitingRequest struct {
	id     RequestID
	readAt int64 // value of readBytes when it was read
}

// BytesRead takes note of n bytes that were read. Requests among them are added after it.
func (q *Queue) BytesRead(n int) { q.readBytes += int64(n) }

// Add lets a request wait.
func (q *Queue) Add(id RequestID) {
	q.waiting = append(q.waiting, waitingRequest{id: id, readAt: q.readBytes})
}

// Len is the number of requests that wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Due removes the requests that may be carried out now from the queue and appends them to out. unread tells whether the
// connection has input that is unread.
func (q *Queue) Due(cfg Config, unread bool, out []RequestID) []RequestID {
	due := 0
	for due < min(len(q.waiting), cfg.MaxPerStep) && (!unread || q.readBytes-q.waiting[due].readAt >= int64(cfg.MaxWaitBytes)) {
		out = append(out, q.waiting[due].id)
		due++
	}
	q.waiting = q.waiting[due:]
	if len(q.waiting) == 0 {
		q.waiting = nil // an idle connection holds no memory
	}
	return out
}
