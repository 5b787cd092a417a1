package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/core/replica"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
)

// RequestHead is what a caller says about its request.
type RequestHead struct {
	// ID identifies one attempt of the caller; empty if it sent none.
	ID string
	// Left is how long the caller waits; 0 if it does not say.
	Left time.Duration
}

// UpstreamHead is what the backend server is told beside the request itself.
type UpstreamHead struct {
	// RequestID is the caller's ID of the request.
	RequestID string
	// Left is the time after which it stops work.
	Left time.Duration
	// Instance is the only upstream that may run the request; empty for any.
	Instance string
	// CallerService is the service of the VM where the request began.
	CallerService string
}

// AnswerHead is what an answer of a backend server says about the request.
type AnswerHead struct {
	// OwnAnswer says that the answer belongs to the request that was sent, and Foreign that
	// it names another one. An answer that names none is neither.
	OwnAnswer, Foreign bool
	// NotExecuted says that the backend server did not run the request.
	NotExecuted bool
	// Misplaced says that another upstream is at the address.
	Misplaced bool
	// Failed says that the backend server ran the request and failed.
	Failed bool
}

// Dialect translates between HTTP headers and what they mean. Implementations are safe
// for concurrent use.
type Dialect interface {
	// Names returns the header names that are specific to the dialect.
	Names() []string
	// Request reads the head of a caller's request and removes its headers, all of which
	// Prepare sets anew.
	Request(h http.Header) RequestHead
	// Prepare sets the headers of a request to the backend server.
	Prepare(h http.Header, u UpstreamHead)
	// Answer reads the head of an answer to the request with the ID, and removes the
	// header with the ID, which Restore sets again.
	Answer(id string, status int, h http.Header) AnswerHead
	// Restore completes the header of an answer that is passed on.
	Restore(id string, h http.Header)
	// Refuse sets the headers of an answer of the daemon's own and returns its status.
	// after is when a refused caller may come back; 0 if it makes no difference.
	Refuse(h http.Header, code codes.Code, after time.Duration) int
}

// ErrCompacted is returned by Store.Watch when the history after the revision is gone.
var ErrCompacted = errors.New("the store's history after this revision is gone")

// Store reads the published items. Implementations are safe for concurrent use.
type Store interface {
	// List returns the whole state. Items may be newer than the revision of the update.
	List(ctx context.Context) (replica.Update, error)
	// Watch returns the changes after a revision, waiting for the first one up to a limit.
	// The update is empty when there were none. Errors include ErrCompacted.
	Watch(ctx context.Context, after int64, wait time.Duration) (replica.Update, error)
}

// Change is the meaning of one item; at most one field is set. An item that concerns
// nobody here has none.
type Change struct {
	// Config is a new configuration of routes.
	Config *routing.Config
	// Upstream is an upstream that registered or changed.
	Upstream *directory.Upstream
	// Gone is the ID of an upstream that is no longer listed.
	Gone string
}

// Decoder reads items of the store. A change may come with an error: an entry that can't be
// read ends what it said before. now is the time of reading, for times that an item
// gives as a remaining duration.
type Decoder interface {
	Decode(now time.Time, item replica.Item) (Change, error)
}
