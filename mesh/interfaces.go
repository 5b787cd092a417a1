package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/core/answerclass"
	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/core/replica"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// RequestHead holds the metadata that a caller sends with its request.
type RequestHead struct {
	// ID identifies one attempt of the caller; empty if the caller sent none.
	ID string
	// Left is how long the caller waits for the answer; 0 if not stated.
	Left time.Duration
	// Key is the API key of a tenant; empty if the caller sent none that can be read.
	Key string
}

// UpstreamHead holds the metadata that is sent to the backend server with a request.
type UpstreamHead struct {
	// RequestID is the caller's ID of the request.
	RequestID string
	// Left is the time after which the backend server stops work on the request.
	Left time.Duration
	// Instance is the ID of the only upstream that may run the request; empty for any.
	Instance string
	// CallerService is the service of the VM that sent the request.
	CallerService string
	// Tenant is the name of the tenant whose key the caller sent; empty if it needed none.
	Tenant string
}

// AnswerHead holds what an answer of a backend server states about the request.
type AnswerHead struct {
	// MatchesRequest says that the answer belongs to the request that was sent, and
	// NamesOtherRequest that it carries the ID of another one. For an answer without an ID,
	// both may be false.
	MatchesRequest, NamesOtherRequest bool
	// Run is what the answer says about the run of the request.
	Run answerclass.Head
	// Rate is the number of requests a second that the backend server takes from all VMs
	// together, valid if StatesRate is set.
	Rate       float64
	StatesRate bool
	// InvalidRate is the rate as it was stated, if it can't be read.
	InvalidRate string
	// Leaving says that the backend server is shutting down and takes no new requests.
	Leaving bool
}

// HeaderConvention defines which HTTP headers carry the metadata of requests and answers.
// Implementations are safe for concurrent use.
type HeaderConvention interface {
	// Names returns the names of the headers that are specific to the convention.
	Names() []string
	// Request reads the metadata of a caller's request and removes their headers from h, except those of
	// the tenant. Prepare sets all of them again.
	Request(h http.Header) RequestHead
	// RemoveTenant removes the key of a tenant and the name that the caller states for one from h.
	RemoveTenant(h http.Header)
	// Prepare sets the headers for the metadata of a request to the backend server.
	Prepare(h http.Header, u UpstreamHead)
	// Answer reads the metadata of an answer. id is the ID of the request that was sent. The
	// header with the ID is removed from h; Restore sets it again.
	Answer(id string, status int, h http.Header) AnswerHead
	// Run reads what an answer says about the run of its request, also from one that another daemon passes on.
	Run(status int, h http.Header) answerclass.Head
	// Restore sets the ID of the request in the header of an answer that is passed on.
	Restore(id string, h http.Header)
	// Refuse sets the headers of a final answer of the daemon itself and returns its status.
	// retryAfter is the time after which a refused caller may retry; 0 if none is stated.
	Refuse(h http.Header, code resultcode.Code, retryAfter time.Duration) int
}

// ErrCompacted is returned by Store.Watch when the store no longer keeps the changes after the
// revision.
var ErrCompacted = errors.New("the store no longer keeps the changes after this revision")

// ErrChangesTooLong is returned by Store.Watch when the changes after the revision are longer than one
// answer may be. A listing is read in pages.
var ErrChangesTooLong = errors.New("the changes after this revision are too long for one answer")

// Store reads the published items. Implementations are safe for concurrent use.
type Store interface {
	// List returns the complete state. Items may be newer than the position of the update. It reads as
	// many pages as there are, and fails if one of them does not arrive in time.
	List(ctx context.Context) (replica.Update, error)
	// Watch returns the changes after a revision. It waits for the first one for the given
	// time, and returns an empty update if there was none. Errors include ErrCompacted and
	// ErrChangesTooLong. The update states the era of the answer, also together with an error; if it is not the era
	// of the revision, the store has been restored and the changes can't be used.
	Watch(ctx context.Context, after int64, wait time.Duration) (replica.Update, error)
}

// Change is the decoded change of one item. At most one field is set; none is set if the item
// does not concern the daemon.
type Change struct {
	// Config is a new configuration of routes.
	Config *routing.Config
	// Upstream is an upstream that registered or changed.
	Upstream *directory.Upstream
	// Unlisted is the ID of an upstream that the store does not list any more.
	Unlisted string
}

// Decoder decodes items of the store.
type Decoder interface {
	// Decode decodes one item. now is the time at which the item was read, for times that an
	// item states as a remaining duration. A change may be returned together with an error: an
	// entry that can't be decoded still invalidates its previous content.
	Decode(now time.Time, item replica.Item) (Change, error)
}
