package answerclass

// Head holds what the head of an answer says about its request.
type Head struct {
	// Success says that the status is that of a successful run, and ServerError that the server failed.
	Success, ServerError bool
	// GuaranteesNotRun says that callers take the status for a guarantee that the request has not run and never will.
	GuaranteesNotRun bool
	// NotNamedInstance says that the status is that of a server which is not the one that the request names.
	NotNamedInstance bool
	// StatesNotRun says that the answer bears the statement that the request was not run.
	StatesNotRun bool
	// Signed says that the answer bears the signature of a run.
	Signed bool
}

// Class is what an answer says about its request.
type Class uint8

// Classes.
const (
	// Broken: the head contradicts itself or lacks what its status requires. The request may have run.
	Broken Class = iota
	// Answered: the request has run, and the answer is passed on.
	Answered
	// Failed: the request has run and the server failed; the answer is passed on.
	Failed
	// NotRun: the server did not run the request.
	NotRun
	// Misdirected: the server is not the one that the request names, and did not run it.
	Misdirected
)

// Refused reports whether the request was not run.
func (c Class) Refused() bool { return c == NotRun || c == Misdirected }

// Defect says why an answer is Broken, for counters and logs.
type Defect string

// Defects.
const (
	// UnstatedRefusal: the status says that the request was not run, and the statement is missing.
	UnstatedRefusal Defect = "unstated_refusal"
	// UnsignedSuccess: a success without a signature.
	UnsignedSuccess Defect = "unsigned_success"
	// RefusedSuccess: a success with the statement that the request was not run.
	RefusedSuccess Defect = "refused_success"
)

// Explain describes the defect, to follow the status.
func (d Defect) Explain() string {
	switch d {
	case UnstatedRefusal:
		return "without the statement that the request was not run"
	case UnsignedSuccess:
		return "without a signature"
	case RefusedSuccess:
		return "with the statement that the request was not run"
	}
	return ""
}

// Classify returns the class of an answer and, for Broken, why it is broken.
func Classify(h Head) (Class, Defect) {
	switch {
	case h.Success && h.StatesNotRun:
		return Broken, RefusedSuccess
	case h.NotNamedInstance && (h.StatesNotRun || !h.Signed):
		return Misdirected, ""
	case h.StatesNotRun:
		return NotRun, ""
	case h.NotNamedInstance, h.GuaranteesNotRun:
		return Broken, UnstatedRefusal
	case h.Success && !h.Signed:
		return Broken, UnsignedSuccess
	case h.ServerError:
		return Failed, ""
	}
	return Answered, ""
}
