package answerclass

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// everyHead calls f with each combination of a status, a statement and a signature.
func everyHead(f func(Head)) {
	for _, status := range []Head{{}, {Success: true}, {ServerError: true}, {GuaranteesNotRun: true},
		{ServerError: true, GuaranteesNotRun: true}, {GuaranteesNotRun: true, NotNamedInstance: true}} {
		for _, status.StatesNotRun = range []bool{false, true} {
			for _, status.Signed = range []bool{false, true} {
				f(status)
			}
		}
	}
}

// Guards against a combination of status, signature and statement that passes for more than it says.
func TestClassify(t *testing.T) {
	Convey("For every head", t, func() {
		everyHead(func(h Head) {
			class, defect := Classify(h)
			So(class == Broken, ShouldEqual, defect != "")
			So(defect == "", ShouldEqual, defect.Explain() == "")
			if class == Answered || class == Failed {
				So(h.GuaranteesNotRun || h.NotNamedInstance || h.StatesNotRun, ShouldBeFalse)
				So(h.Success && !h.Signed, ShouldBeFalse)
			}
			if class == NotRun {
				So(h.StatesNotRun, ShouldBeTrue)
			}
			if class == Misdirected {
				So(h.StatesNotRun || !h.Signed, ShouldBeTrue)
			}
			if class.Refused() {
				So(h.Success, ShouldBeFalse)
			}
		})
	})
	for name, c := range map[string]struct {
		head   Head
		class  Class
		defect Defect
	}{
		"success":                      {Head{Success: true, Signed: true}, Answered, ""},
		"error of the request":         {Head{Signed: true}, Answered, ""},
		"failure":                      {Head{ServerError: true, Signed: true}, Failed, ""},
		"failure without a signature":  {Head{ServerError: true}, Failed, ""},
		"refusal":                      {Head{ServerError: true, GuaranteesNotRun: true, StatesNotRun: true}, NotRun, ""},
		"refusal by another status":    {Head{StatesNotRun: true}, NotRun, ""},
		"status of a refusal":          {Head{ServerError: true, GuaranteesNotRun: true, Signed: true}, Broken, UnstatedRefusal},
		"the same without a signature": {Head{GuaranteesNotRun: true}, Broken, UnstatedRefusal},
		"another instance":             {Head{GuaranteesNotRun: true, NotNamedInstance: true}, Misdirected, ""},
		"the same, stated":             {Head{GuaranteesNotRun: true, NotNamedInstance: true, StatesNotRun: true, Signed: true}, Misdirected, ""},
		"the same from a run":          {Head{GuaranteesNotRun: true, NotNamedInstance: true, Signed: true}, Broken, UnstatedRefusal},
		"success without a signature":  {Head{Success: true}, Broken, UnsignedSuccess},
		"success that was not run":     {Head{Success: true, StatesNotRun: true, Signed: true}, Broken, RefusedSuccess},
	} {
		Convey(name, t, func() {
			class, defect := Classify(c.head)
			So(class, ShouldEqual, c.class)
			So(defect, ShouldEqual, c.defect)
		})
	}
}
