package config

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

var matchService = Service{Kinds: []Kind{
	{Name: "root", Method: "GET", Path: "/"},
	{Name: "list", Method: "GET", Path: "/orders"},
	{Name: "one", Method: "GET", Path: "/orders/{id}"},
	{Name: "confirm", Method: "POST", Path: "/orders/{id}/confirmation"},
	{Name: "item", Method: "GET", Path: "/orders/{id}/items/{n}"},
}}

// Guards against a call that is matched to the wrong kind and so gets its rank.
func TestMatch(t *testing.T) {
	cases := map[[2]string]string{
		{"GET", "/"}:                        "root",
		{"GET", "/orders"}:                  "list",
		{"GET", "/orders/7"}:                "one",
		{"GET", "/orders/a%2Fb"}:            "one",
		{"POST", "/orders/7/confirmation"}:  "confirm",
		{"GET", "/orders/7/items/1"}:        "item",
		{"POST", "/orders/7"}:               "",
		{"GET", "/orders/"}:                 "",
		{"GET", "/orders/7/"}:               "",
		{"GET", "/orders//items/1"}:         "",
		{"GET", "/orders/7/items/1/2"}:      "",
		{"GET", "orders"}:                   "",
		{"GET", ""}:                         "",
		{"GET", "/orders/{id}/items"}:       "",
		{"POST", "/orders/7/confirmation/"}: "",
	}
	compiled := matchService
	compiled.routes = compileRoutes(compiled.Kinds)
	Convey("A request matches the kind with its method and complete path", t, func() {
		for request, want := range cases {
			for _, s := range []*Service{&matchService, &compiled} {
				name := ""
				if k := s.Match(request[0], request[1]); k != nil {
					name = k.Name
				}
				So(request[0]+" "+request[1]+": "+name, ShouldEqual, request[0]+" "+request[1]+": "+want)
			}
		}
	})
	Convey("Match does not allocate for a compiled service", t, func() {
		So(testing.AllocsPerRun(100, func() {
			compiled.Match("GET", "/orders/7/items/1")
			compiled.Match("GET", "/none")
		}), ShouldEqual, 0)
	})
}

func BenchmarkMatch(b *testing.B) {
	compiled := matchService
	compiled.routes = compileRoutes(compiled.Kinds)
	b.ReportAllocs()
	for b.Loop() {
		compiled.Match("GET", "/orders/7/items/1")
	}
}
