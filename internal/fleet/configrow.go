package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/progress"
)

// Parameters of a call for a row that was offered, and the parts of HTTP by which it goes on where an earlier
// one has ended (RFC 9110, section 14).
const (
	rowVersionParam = "version"
	rowBaseParam    = "base"
	headerRange     = "Range"
	headerIfMatch   = "If-Match"
	headerETag      = "ETag"
)

const (
	// rowShare is the share of a node's link that the rows which it sends to others take at most. Requests
	// keep the rest.
	rowShare = 0.3
	// minRowBytesPerSecond is the speed, in bytes a second, below which a node begins no further transfer.
	minRowBytesPerSecond = 160 << 10
	// minRowSenders is the number of transfers that a node may begin at any speed.
	minRowSenders = 2
	// rowChunk is the number of bytes of a row that are sent at once.
	rowChunk = 4 << 10
	// rowSilence is how long a transfer may bring nothing. A node sends rowChunk within a fraction of it.
	rowSilence = 400 * time.Millisecond
)

var (
	rowsFinished  = metrics.NewCounter(`chestnut_config_transfers_total{side="sender",result="finished"}`)
	rowsBrokenOff = metrics.NewCounter(`chestnut_config_transfers_total{side="sender",result="broken_off"}`)
	rowsLater     = metrics.NewCounter(`chestnut_config_transfers_total{side="sender",result="later"}`)
	rowsUnknown   = metrics.NewCounter(`chestnut_config_transfers_total{side="sender",result="not_offered"}`)
	rowBytesSent  = metrics.NewCounter(`chestnut_config_row_bytes_total{direction="sent"}`)
	rowBytesRead  = metrics.NewCounter(`chestnut_config_row_bytes_total{direction="received"}`)
)

// RowSender sends encoded rows of the configuration to other nodes, as many at once as its share of the link
// carries.
type RowSender struct {
	// Encoding returns the encoding of a version that was offered, or nil if it can't be made any more.
	Encoding func(version, base int64) []byte

	limiter *rate.Limiter
	most    int64
	senders atomic.Int64
}

// NewRowSender returns a sender for a link of a bandwidth, in Mbit/s.
func NewRowSender(encoding func(version, base int64) []byte, linkMbps float64) *RowSender {
	const bytesPerMegabit = 1e6 / 8
	perSecond := max(linkMbps*bytesPerMegabit*rowShare, minRowBytesPerSecond)
	return &RowSender{
		Encoding: encoding,
		limiter:  rate.NewLimiter(rate.Limit(perSecond), 2*rowChunk),
		most:     max(minRowSenders, int64(perSecond/minRowBytesPerSecond)),
	}
}

// begin reports whether a transfer may begin. It must be ended then.
func (s *RowSender) begin() bool {
	if s.senders.Add(1) > s.most {
		s.end()
		return false
	}
	return true
}

func (s *RowSender) end() { s.senders.Add(-1) }

// serveConfigRow serves a call for a row that was offered. The caller may have a part of it already.
func (s *Server) serveConfigRow(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	version, errVersion := strconv.ParseInt(query.Get(rowVersionParam), 10, 64)
	base, errBase := strconv.ParseInt(query.Get(rowBaseParam), 10, 64)
	if err := errors.Join(errVersion, errBase); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.ConfigRows.begin() {
		rowsLater.Inc()
		http.Error(w, catalog.ErrLater.Error(), http.StatusServiceUnavailable)
		return
	}
	defer s.ConfigRows.end()
	encoded := s.ConfigRows.Encoding(version, base)
	if encoded == nil {
		rowsUnknown.Inc()
		http.Error(w, catalog.ErrNotOffered.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set(headerETag, rowTag(xxhash.Sum64(encoded)))
	w.Header().Set("Content-Type", "application/octet-stream")
	out := &pacedResponse{chunkedResponse: chunkedResponse{ResponseWriter: w}, ctx: r.Context(), limiter: s.ConfigRows.limiter}
	http.ServeContent(out, r, "", time.Time{}, bytes.NewReader(encoded))
	// The deadline of the last write must not end the next response on this connection.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	switch {
	case out.err != nil:
		rowsBrokenOff.Inc()
		logNotSent(r, s.Log, out.err)
	case out.sent == 0:
		// The caller has a part of another encoding.
		rowsUnknown.Inc()
	default:
		rowsFinished.Inc()
	}
}

// rowTag returns the entity tag of an encoding with a hash.
func rowTag(sum uint64) string { return fmt.Sprintf("%q", strconv.FormatUint(sum, 16)) }

// pacedResponse is a response that is sent at the speed of a limiter.
type pacedResponse struct {
	chunkedResponse
	ctx     context.Context
	limiter *rate.Limiter
	// sent is the number of bytes that were written, err the error of the first write that failed.
	sent int
	err  error
}

// Write implements io.Writer.
func (w *pacedResponse) Write(p []byte) (written int, err error) {
	for written < len(p) && w.err == nil {
		chunk := p[written:min(len(p), written+rowChunk)]
		if w.err = w.limiter.WaitN(w.ctx, len(chunk)); w.err != nil {
			break
		}
		var n int
		n, w.err = w.chunkedResponse.Write(chunk)
		written += n
		w.sent += n
		rowBytesSent.Add(n)
	}
	return written, w.err
}

// Fetch implements catalog.Nodes.
func (c *Client) Fetch(ctx context.Context, node string, offer catalog.Offer, offset int) ([]byte, error) {
	ctx, cancel := progress.WithTimeout(ctx, rowSilence, maxConfigTransfer)
	defer cancel()
	query := url.Values{
		rowVersionParam: {strconv.FormatInt(offer.Version, 10)},
		rowBaseParam:    {strconv.FormatInt(offer.Base, 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+configRowPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, fmt.Errorf("fleet: request: %w", err)
	}
	req.Header.Set("User-Agent", "")
	req.Header.Set(headerIfMatch, rowTag(offer.Sum))
	req.Header.Set(headerRange, fmt.Sprintf("bytes=%d-", offset))
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusPartialContent:
	case http.StatusServiceUnavailable:
		return nil, catalog.ErrLater
	case http.StatusNotFound, http.StatusPreconditionFailed, http.StatusRequestedRangeNotSatisfiable:
		return nil, catalog.ErrNotOffered
	default:
		return nil, checkStatus(resp, node)
	}
	left := int64(offer.Bytes - offset)
	data, err := io.ReadAll(progress.Reader(ctx, io.LimitReader(resp.Body, left), minProgressBytes))
	rowBytesRead.Add(len(data))
	if err == nil && int64(len(data)) < left {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return data, fmt.Errorf("fleet: row from %s: %w", node, err)
	}
	return data, nil
}
