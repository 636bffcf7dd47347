//go:build review

package standin

import (
	"fmt"
	"time"
)

// runBodiless sends unsafe requests, half of them without a body and with an Idempotency-Key,
// while an engine loses answers: it runs a request and resets the connection.
func runBodiless(s settings) (broken bool, err error) {
	sys, err := startPlainSystem(s, 2, 2)
	defer sys.stop()
	if err != nil {
		return false, err
	}
	if s.trouble {
		go func() {
			time.Sleep(5 * time.Second)
			s.log.line("trouble begins: engine %s loses 0.05 of its answers", sys.engines[0].id)
			sys.engines[0].disturb(0.05, 0)
			time.Sleep(5 * time.Second)
			sys.engines[0].disturb(0, 0)
			s.log.line("trouble ends")
		}()
	}
	all := sys.drive(16, 100*time.Millisecond, 15*time.Second, func(n int64) (string, string, []string, []byte) {
		if n%2 == 0 {
			return "POST", "/once/with-body", []string{fmt.Sprintf("Idempotency-Key: k%d", n)}, []byte("{\"pallets\":2}")
		}
		return "POST", "/once/no-body", []string{fmt.Sprintf("Idempotency-Key: k%d", n)}, nil
	})
	time.Sleep(time.Second)
	return judgeTwice(s.log, all)
}

// judgeTwice reports whether an unsafe request ran more than once.
func judgeTwice(log *record, all []sent) (broken bool, err error) {
	runs := log.runsOf()
	served, twice := 0, 0
	for _, sent := range all {
		if sent.answer.status == 200 {
			served++
		}
		if engines := runs[sent.id]; len(engines) > 1 {
			twice++
			log.line("BROKEN: %s %s %s ran %d times, at %v; the consumer sent it once and got status %d", sent.id, sent.method, sent.target, len(engines), engines, sent.answer.status)
		}
	}
	log.line("requests %d, answered 200 %d, run more than once %d", len(all), served, twice)
	fmt.Printf("requests %d, answered 200 %d, run more than once %d\n", len(all), served, twice)
	if served < len(all)/2 {
		return false, fmt.Errorf("%w: only %d of %d requests were served", errCouldNotRun, served, len(all))
	}
	return twice > 0, nil
}
