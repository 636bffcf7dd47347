//go:build review

package standin

import (
	"fmt"
	"strings"
	"time"
)

// runStrayBytes sends requests while engines send additional bytes after a share of their
// complete answers.
func runStrayBytes(s settings) (broken bool, err error) {
	sys, err := startPlainSystem(s, 2, 5)
	defer sys.stop()
	if err != nil {
		return false, err
	}
	if s.trouble {
		go func() {
			time.Sleep(4 * time.Second)
			s.log.line("trouble begins: 3 of 5 engines send additional bytes after 0.03 of their answers")
			for _, e := range sys.engines[:3] {
				e.disturb(0, 0.03)
			}
			time.Sleep(5 * time.Second)
			for _, e := range sys.engines[:3] {
				e.disturb(0, 0)
			}
			s.log.line("trouble ends")
		}()
	}
	all := sys.drive(16, 100*time.Millisecond, 15*time.Second, func(n int64) (string, string, []string, []byte) {
		if n%3 == 0 {
			return "GET", "/safe/stock", nil, nil
		}
		return "POST", "/once/book", nil, []byte("{\"pallets\":2}")
	})
	return judgeMixed(s.log, all)
}

// judgeMixed reports whether a consumer got a success without the signature of an engine, or
// another body than the engine's.
func judgeMixed(log *record, all []sent) (broken bool, err error) {
	served, mixed := 0, 0
	for _, sent := range all {
		a := sent.answer
		if a.err != nil || a.status < 200 || a.status > 299 {
			continue
		}
		engine, _, _ := strings.Cut(a.signature, ".")
		if a.signature != "" && a.signature == signature(engine, sent.id, a.body) {
			served++
			continue
		}
		mixed++
		log.line("BROKEN: %s %s %s got status %d with signature %q, of request %q, and body %q", sent.id, sent.method, sent.target, a.status, a.signature, a.id, a.body)
	}
	log.line("requests %d, answered with a signed 200 %d, with another success %d", len(all), served, mixed)
	fmt.Printf("requests %d, answered with a signed 200 %d, with another success %d\n", len(all), served, mixed)
	if served < len(all)/2 {
		return false, fmt.Errorf("%w: only %d of %d requests were served", errCouldNotRun, served, len(all))
	}
	return mixed > 0, nil
}
