package httpclient

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/net/http/httpguts"

	"chestnutgauge/internal/membudget"
)

// headFault is why the head of a response is invalid. net/http accepts most of such heads.
type headFault string

// Faults of a head.
const (
	// faultStatus is a status line without a status of the protocol, from 100 to 599.
	faultStatus headFault = "status line"
	// faultName is a field whose name is empty, or holds a byte that no name may hold, such as a blank
	// before the colon. Recipients differ in whether it counts as the field without that byte.
	faultName headFault = "name of a field"
	// faultValue is a field whose value holds a control byte.
	faultValue headFault = "value of a field"
	// faultFold is a line that begins with a blank. It continues the value of the line before it for some
	// recipients.
	faultFold headFault = "folded line"
	// faultFraming is a transfer coding in a version of the protocol that has none.
	faultFraming headFault = "transfer coding in HTTP/1.0"
	// faultEarly is a head that began to arrive before its request was written.
	faultEarly headFault = "before its request"
)

// Error implements error.
func (f headFault) Error() string {
	return "httpclient: invalid head of a response: " + string(f)
}

// count counts a response in the metrics.
func (f headFault) count() {
	reason := strings.ReplaceAll(strings.ToLower(string(f)), " ", "_")
	metrics.GetOrCreateCounter(`chestnut_http_invalid_heads_total{reason="` + reason + `"}`).Inc()
}

// countFault counts a response if an error tells that its head is invalid.
func countFault(err error) {
	var fault headFault
	if errors.As(err, &fault) {
		fault.count()
	}
}

// errNoHeadMemory is the error of a head that there is no memory for.
var errNoHeadMemory = fmt.Errorf("httpclient: head of a response: %w", membudget.ErrFull)

const (
	// smallHead is the length of heads for which there is always memory, in bytes.
	smallHead = 8 << 10
	// headCopies is how often a head is held while it is parsed: as lines and as fields.
	headCopies = 2
)

// heldOfHead returns how many bytes a head of a length counts as.
func heldOfHead(length int64) int64 {
	if length <= smallHead {
		return 0
	}
	return headCopies * length
}

// headPart is the part of a head that its next byte belongs to.
type headPart int

const (
	partStatusLine headPart = iota
	partLineStart
	partName
	partValue
	// partLineEnd is the line feed after a carriage return, partBlankLine that of the line that ends the
	// head.
	partLineEnd
	partBlankLine
	partBody
)

// maxHeadText is the number of bytes that are kept of a status line or of the name of a field. The version,
// the status and the names that matter are shorter.
const maxHeadText = 20

// validStatus matches the beginning of a status line.
var validStatus = regexp.MustCompile(`^HTTP/1\.([0-9]) ([1-5])([0-9]{2})(?:[ \r]|$)`)

// headChecker checks the heads of a response, interim ones included, as they arrive. It accepts what a
// proxy may pass on. The zero value is at the start of a response.
type headChecker struct {
	part headPart
	// text is the beginning of the status line, or of the name of the current field.
	text []byte
	// interim means that another head follows, withoutCodings that the version has no transfer codings.
	interim, withoutCodings bool
	// length is the number of bytes of the heads.
	length int64
	fault  headFault
}

// add checks the next bytes of a response. Those after its last head are not looked at.
func (h *headChecker) add(data []byte) {
	for _, b := range data {
		if h.part == partBody || h.fault != "" {
			return
		}
		h.next(b)
	}
}

// whole reports whether all of the head has been checked.
func (h *headChecker) whole() bool {
	return h.part == partBody && h.fault == ""
}

func (h *headChecker) next(b byte) {
	h.length++
	switch h.part {
	case partStatusLine:
		h.inStatusLine(b)
	case partLineStart:
		h.atLineStart(b)
	case partName:
		h.inName(b)
	case partValue:
		h.inValue(b)
	case partLineEnd:
		h.expectLineFeed(b, partLineStart, faultValue)
	case partBlankLine:
		h.expectLineFeed(b, partBody, faultName)
		h.endHead()
	}
}

func (h *headChecker) inStatusLine(b byte) {
	if b != '\n' {
		h.keep(b)
		return
	}
	status := validStatus.FindSubmatch(h.text)
	if status == nil {
		h.fault = faultStatus
		return
	}
	h.withoutCodings = status[1][0] == '0'
	// A switch of protocols is the last response in this one.
	h.interim = status[2][0] == '1' && string(status[3]) != "01"
	h.part = partLineStart
}

func (h *headChecker) atLineStart(b byte) {
	h.text = h.text[:0]
	switch b {
	case '\r':
		h.part = partBlankLine
	case '\n':
		h.part = partBody
		h.endHead()
	case ' ', '\t':
		h.fault = faultFold
	default:
		h.part = partName
		h.inName(b)
	}
}

func (h *headChecker) inName(b byte) {
	switch {
	case b == ':' && len(h.text) > 0:
		h.part = partValue
		if h.withoutCodings && bytes.EqualFold(h.text, []byte("Transfer-Encoding")) {
			h.fault = faultFraming
		}
	case !httpguts.IsTokenRune(rune(b)):
		h.fault = faultName
	default:
		h.keep(b)
	}
}

func (h *headChecker) inValue(b byte) {
	switch {
	case b == '\n':
		h.part = partLineStart
	case b == '\r':
		h.part = partLineEnd
	case b < ' ' && b != '\t' || b == 0x7f:
		h.fault = faultValue
	}
}

// expectLineFeed goes on with a part after a line feed. Any other byte is a fault.
func (h *headChecker) expectLineFeed(b byte, next headPart, otherwise headFault) {
	if b == '\n' {
		h.part = next
		return
	}
	h.fault = otherwise
}

// endHead begins the next head if the one that has ended is an interim one.
func (h *headChecker) endHead() {
	if h.part == partBody && h.interim {
		*h = headChecker{text: h.text[:0], length: h.length}
	}
}

// keep keeps a byte of a status line or name, unless enough of it is kept.
func (h *headChecker) keep(b byte) {
	if len(h.text) < maxHeadText {
		h.text = append(h.text, b)
	}
}
