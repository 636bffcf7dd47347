package fleet

import (
	"context"
	"log/slog"
	"net/http"
	"time"
)

// ownerLink is the way from a node to the owner of the engines, which may be the node itself.
type ownerLink struct {
	self   string
	holder Holder
	http   *http.Client
}

// askOwner has the owner decide on a request. At the owner itself that is decide; another node's
// answer must arrive within timeout. It returns errNoOwner if no owner is known.
func askOwner[Request, Answer any](ctx context.Context, link ownerLink, path string, timeout time.Duration, request Request,
	decide func(context.Context, Request) (Answer, error)) (Answer, error) {
	var answer Answer
	holder := link.holder.Holder()
	switch holder {
	case "":
		return answer, errNoOwner
	case link.self:
		return decide(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := post(ctx, link.http, holder, path, request, &answer)
	return answer, err
}

// serveDecision serves another node's call of askOwner.
func serveDecision[Request, Answer any](w http.ResponseWriter, r *http.Request, log *slog.Logger,
	decide func(context.Context, Request) (Answer, error)) {
	var request Request
	if !decodeBody(w, r, &request) {
		return
	}
	answer, err := decide(r.Context(), request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	writeJSON(w, r, answer, log)
}
