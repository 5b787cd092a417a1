package main

import (
	"fmt"
	"io"
)

// playPath sends requests whose path has characters that browsers send as they are, and an encoded slash. TROUBLE=0
// sends the same requests with these characters percent-encoded.
func playPath(binary string, trouble bool, record io.Writer) (broken bool, err error) {
	routes := []route{
		{"catalogo-ver", "/catalogo/", "safe", "vitrina", 6},
		{"lote-confirmar", "/catalogo/lote/", "unsafe", "pedidos", 6},
	}
	f, err := newFleet(binary, []string{"vitrina", "vitrina", "pedidos"}, routes)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	targets := []string{"/catalogo/rojo%7Cazul", "/catalogo/lote%2F7", "/catalogo/lote%2F7%7Cazul"}
	if trouble {
		targets = []string{"/catalogo/rojo|azul", "/catalogo/lote%2F7", "/catalogo/lote%2F7|azul"}
	}
	for _, target := range targets {
		for _, v := range f.vms {
			r := newRequest("GET", target)
			v.send(r)
			fmt.Fprintf(record, "%s %s %s at %s (allowed: %s): %s\n", r.id, r.method, r.target, v.name, "vitrina", r.outcome())
			for _, done := range f.history.of(r.id) {
				changed, misrouted := done.method != r.method || done.target != r.target, done.service != "vitrina"
				fmt.Fprintf(record, "  run by %s of %s as %s %s: changed %t, wrong service %t\n", done.upstream, done.service, done.method, done.target, changed, misrouted)
				broken = broken || changed || misrouted
			}
		}
	}
	return broken, nil
}
