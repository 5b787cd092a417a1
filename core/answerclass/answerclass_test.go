package answerclass

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// everyHead calls f with each combination of a status, a statement and a seal.
func everyHead(f func(Head)) {
	for _, status := range []Head{{}, {ServerError: true}, {GuaranteesNotRun: true},
		{ServerError: true, GuaranteesNotRun: true}, {GuaranteesNotRun: true, NotNamedInstance: true}} {
		for _, status.StatesNotRun = range []bool{false, true} {
			f(status)
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
			}
			if class == NotRun {
				So(h.StatesNotRun, ShouldBeTrue)
			}
		})
	})
	for name, c := range map[string]struct {
		head   Head
		class  Class
		defect Defect
	}{
		"error of the request":      {Head{}, Answered, ""},
		"failure":                   {Head{ServerError: true}, Failed, ""},
		"refusal":                   {Head{ServerError: true, GuaranteesNotRun: true, StatesNotRun: true}, NotRun, ""},
		"refusal by another status": {Head{StatesNotRun: true}, NotRun, ""},
		"status of a refusal":       {Head{ServerError: true, GuaranteesNotRun: true}, Broken, UnstatedRefusal},
		"another instance":          {Head{GuaranteesNotRun: true, NotNamedInstance: true}, Misdirected, ""},
	} {
		Convey(name, t, func() {
			class, defect := Classify(c.head)
			So(class, ShouldEqual, c.class)
			So(defect, ShouldEqual, c.defect)
		})
	}
}
