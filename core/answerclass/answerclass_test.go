package answerclass

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// everyHead calls f with each combination of a status, a statement and a seal.
func everyHead(f func(Head)) {
	for _, status := range []Head{{}, {Success: true}, {ServerError: true}, {GuaranteesNotRun: true},
		{ServerError: true, GuaranteesNotRun: true}, {GuaranteesNotRun: true, NotNamedInstance: true}} {
		for _, status.StatesNotRun = range []bool{false, true} {
			for _, status.Sealed = range []bool{false, true} {
				f(status)
			}
		}
	}
}

// Guards against a combination of status, seal and statement that passes for more than it says.
func TestClassify(t *testing.T) {
	Convey("For every head", t, func() {
		everyHead(func(h Head) {
			class, defect := Classify(h)
			So(class == Broken, ShouldEqual, defect != "")
			So(defect == "", ShouldEqual, defect.Explain() == "")
			if class == Answered || class == Failed {
				So(h.GuaranteesNotRun || h.NotNamedInstance || h.StatesNotRun, ShouldBeFalse)
				So(h.Success && !h.Sealed, ShouldBeFalse)
			}
			if class == NotRun {
				So(h.StatesNotRun, ShouldBeTrue)
			}
			if class == Misdirected {
				So(h.StatesNotRun || !h.Sealed, ShouldBeTrue)
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
		"success":                   {Head{Success: true, Sealed: true}, Answered, ""},
		"error of the request":      {Head{Sealed: true}, Answered, ""},
		"failure":                   {Head{ServerError: true, Sealed: true}, Failed, ""},
		"failure without a seal":    {Head{ServerError: true}, Failed, ""},
		"refusal":                   {Head{ServerError: true, GuaranteesNotRun: true, StatesNotRun: true}, NotRun, ""},
		"refusal by another status": {Head{StatesNotRun: true}, NotRun, ""},
		"status of a refusal":       {Head{ServerError: true, GuaranteesNotRun: true, Sealed: true}, Broken, UnstatedRefusal},
		"the same without a seal":   {Head{GuaranteesNotRun: true}, Broken, UnstatedRefusal},
		"another instance":          {Head{GuaranteesNotRun: true, NotNamedInstance: true}, Misdirected, ""},
		"the same, stated":          {Head{GuaranteesNotRun: true, NotNamedInstance: true, StatesNotRun: true, Sealed: true}, Misdirected, ""},
		"the same from a run":       {Head{GuaranteesNotRun: true, NotNamedInstance: true, Sealed: true}, Broken, UnstatedRefusal},
		"success without a seal":    {Head{Success: true}, Broken, UnsealedSuccess},
		"success that was not run":  {Head{Success: true, StatesNotRun: true, Sealed: true}, Broken, RefusedSuccess},
	} {
		Convey(name, t, func() {
			class, defect := Classify(c.head)
			So(class, ShouldEqual, c.class)
			So(defect, ShouldEqual, c.defect)
		})
	}
}
