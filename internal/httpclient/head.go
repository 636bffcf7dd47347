package httpclient

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
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

// parseStatusLine reads the beginning of a status line: the minor version, and the status from 100 to 599.
func parseStatusLine(text []byte) (minor byte, status int, ok bool) {
	const version, statusEnd = "HTTP/1.", len("HTTP/1.1 200")
	if len(text) < statusEnd || !bytes.HasPrefix(text, []byte(version)) || text[len(version)+1] != ' ' {
		return 0, 0, false
	}
	minor = text[len(version)]
	status, err := strconv.Atoi(string(text[len(version)+2 : statusEnd]))
	isEnd := len(text) == statusEnd || text[statusEnd] == ' ' || text[statusEnd] == '\r'
	return minor, status, err == nil && isEnd && minor >= '0' && minor <= '9' && status >= 100 && status <= 599
}

// headChecker checks the heads of a response, interim ones included, as they arrive. It accepts what a
// proxy may pass on. The zero value is at the start of a response.
type headChecker struct {
	part headPart
	// buffer begins with the beginning of the status line, or of the name of the current field, of textLength
	// bytes.
	buffer     [maxHeadText]byte
	textLength int
	// interim means that another head follows, withoutCodings that the version has no transfer codings.
	interim, withoutCodings bool
	// length is the number of bytes of the heads.
	length int64
	fault  headFault
}

// add checks the next bytes of a response. Those after its last head are not looked at.
func (h *headChecker) add(data []byte) {
	for len(data) > 0 && h.part != partBody && h.fault == "" {
		if h.part == partValue {
			data = h.skipText(data)
			continue
		}
		h.next(data[0])
		data = data[1:]
	}
}

// skipText skips the text at the beginning of data, which is in a value, and adds the control byte after it.
func (h *headChecker) skipText(data []byte) (rest []byte) {
	for i, b := range data {
		if b < ' ' && b != '\t' || b == 0x7f {
			h.length += int64(i)
			h.next(b)
			return data[i+1:]
		}
	}
	h.length += int64(len(data))
	return nil
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
	minor, status, ok := parseStatusLine(h.text())
	if !ok {
		h.fault = faultStatus
		return
	}
	h.withoutCodings = minor == '0'
	// A switch of protocols is the last response in this one.
	h.interim = status < http.StatusOK && status != http.StatusSwitchingProtocols
	h.part = partLineStart
}

func (h *headChecker) atLineStart(b byte) {
	h.textLength = 0
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
	case b == ':' && h.textLength > 0:
		h.part = partValue
		if h.withoutCodings && bytes.EqualFold(h.text(), []byte("Transfer-Encoding")) {
			h.fault = faultFraming
		}
	case !httpguts.IsTokenRune(rune(b)):
		h.fault = faultName
	default:
		h.keep(b)
	}
}

// inValue goes on after a control byte in a value.
func (h *headChecker) inValue(b byte) {
	switch b {
	case '\n':
		h.part = partLineStart
	case '\r':
		h.part = partLineEnd
	default:
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
		*h = headChecker{length: h.length}
	}
}

// keep keeps a byte of a status line or name, unless enough of it is kept.
func (h *headChecker) keep(b byte) {
	if h.textLength < maxHeadText {
		h.buffer[h.textLength] = b
		h.textLength++
	}
}

func (h *headChecker) text() []byte {
	return h.buffer[:h.textLength]
}
