package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"chestnutgauge/internal/catalog"
	"chestnutgauge/internal/httpclient"
	"chestnutgauge/internal/inventory"
	"chestnutgauge/internal/monotime"
	"chestnutgauge/internal/owner"
	"chestnutgauge/internal/pause"
	"chestnutgauge/internal/progress"
	"chestnutgauge/internal/suspect"
)

// The owner of the engines streams its inventory to the other nodes, so that
// they need not poll the store, where each call has a cost.

const inventoryPath = "/v1/inventory"

// suspectsVersionParam is the query parameter with the version of the owner's suspects
// that the caller has received.
const suspectsVersionParam = "suspects_version"

// patchesParam is the query parameter by which a caller says that it understands patches of
// endpoints.
const patchesParam = "patches"

// configParam is the query parameter with the version of the configuration that the caller has, by which
// it says that it understands patches of that.
const configParam = "config_version"

// Intervals and timeouts of a stream.
const (
	// minMessageInterval is the shortest time between two messages.
	minMessageInterval = 20 * time.Millisecond
	// heartbeatInterval is the longest time between two messages.
	heartbeatInterval = 400 * time.Millisecond
	// streamTimeout is how long a stream may carry no message, and nothing of a large one, before it counts
	// as lost.
	streamTimeout = 1100 * time.Millisecond
	// maxStoreAge is how long ago the store may have confirmed what the owner knows
	// before the owner stops streaming it.
	maxStoreAge = 1500 * time.Millisecond
	// reconnectDelay is the time between two attempts to open a stream.
	reconnectDelay = 200 * time.Millisecond
)

// maxMessageBytes bounds one message, in bytes. The first one has all endpoints.
const maxMessageBytes = 16 << 20

// message is one message of a stream.
type message struct {
	ConfigVersion int64 `json:"config_version"`
	// Config is the row of that version if it is a patch of one that the node has.
	Config   *configRow      `json:"config,omitempty"`
	StoreEra int64           `json:"store_era,omitempty"`
	Delta    inventory.Delta `json:"delta"`
	// Drains are the drain marks that the earlier messages lack.
	Drains []inventory.DrainMark `json:"drains,omitempty"`
	// Suspects are the owner's suspects that the node lacks, SuspectsVersion is the
	// version that it then has.
	Suspects        []suspect.CrashMark `json:"suspects,omitempty"`
	SuspectsVersion int64               `json:"suspects_version,omitempty"`
}

// Publisher streams an inventory to other nodes.
type Publisher struct {
	Inventory *inventory.Inventory
	Owner     *owner.Owner
	// Config returns the version of the active configuration and a channel that
	// is closed when that changes.
	Config func() (version int64, changed <-chan struct{})
	// ConfigCopy returns what this node knows of the configuration for a node that has a version. It may
	// be nil.
	ConfigCopy func(version int64, form catalog.Form) (known catalog.Copy, age time.Duration, ok bool)
	// StoreAge returns the time since the store last confirmed what this node knows
	// of the endpoints and the configuration, or false if it never did.
	StoreAge func() (time.Duration, bool)
	// Incomplete reports that endpoints may be missing from the inventory.
	Incomplete func() bool
	// StoreEra returns the highest era of the store that was seen.
	StoreEra func() int64
	// Suspects are the suspects that this node knows.
	Suspects *suspect.Registry
	Log      *slog.Logger
}

// authoritative reports whether this node owns the engines and has a complete and
// up-to-date inventory.
func (p *Publisher) authoritative() bool {
	_, owns := p.Owner.Lease.Grant()
	age, known := p.StoreAge()
	return owns && known && age < maxStoreAge && !p.Incomplete()
}

// ServeHTTP implements http.Handler. The stream ends when the node no longer
// owns the engines, may not know all endpoints, or what it knows is older than
// maxStoreAge.
func (p *Publisher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !p.authoritative() {
		http.Error(w, owner.ErrNotOwner.Error(), http.StatusConflict)
		return
	}
	out := &chunkedResponse{ResponseWriter: w}
	encoder := json.NewEncoder(out)
	var sent *inventory.Snapshot
	patches := r.URL.Query().Get(patchesParam) != ""
	// A version that can't be read counts as none.
	suspectsSent, _ := strconv.ParseInt(r.URL.Query().Get(suspectsVersionParam), 10, 64)
	patchesConfig := r.URL.Query().Has(configParam)
	// A version that can't be read counts as none.
	configSent, _ := strconv.ParseInt(r.URL.Query().Get(configParam), 10, 64)
	for p.authoritative() {
		snapshot, changed := p.Inventory.Watch()
		config, configChanged := p.Config()
		suspectsChanged := p.Suspects.Watch()
		now := time.Now()
		var suspects []suspect.CrashMark
		suspects, suspectsSent = p.Suspects.AllSince(suspectsSent, now)
		message := message{
			ConfigVersion:   config,
			StoreEra:        p.StoreEra(),
			Delta:           snapshot.Since(sent),
			Drains:          snapshot.DrainsSince(sent, now),
			Suspects:        suspects,
			SuspectsVersion: suspectsSent,
		}
		if patchesConfig {
			p.addConfig(&message, configSent)
			configSent = message.ConfigVersion
		}
		if patches && sent != nil {
			message.Delta = message.Delta.Compact(sent)
		}
		if err := encoder.Encode(message); err != nil {
			return
		}
		sent = snapshot
		if !pause.For(r.Context(), minMessageInterval) || !pause.FirstOf(r.Context(), heartbeatInterval, changed, configChanged, suspectsChanged) {
			return
		}
	}
}

// addConfig adds to a message the configuration's row for a node that has an earlier version. It adds
// none if the row is not a small patch of what the node has, which then fetches it apart from the stream.
func (p *Publisher) addConfig(message *message, has int64) {
	if message.ConfigVersion <= has || p.ConfigCopy == nil {
		return
	}
	known, _, ok := p.ConfigCopy(has, catalog.Offered)
	if !ok || known.Patch == nil {
		return
	}
	row := rowOf(known)
	message.ConfigVersion, message.Config = known.Version, &row
}

// SuspectReceiver receives the owner's suspects.
type SuspectReceiver interface {
	// Receive receives suspects, and the version that the node then has.
	Receive(marks []suspect.CrashMark, version int64)
	// Received returns that version, 0 without one.
	Received() int64
}

// Follower applies the owner's inventory stream to the local inventory.
type Follower struct {
	Self      string
	Holder    Holder
	Inventory *inventory.Inventory
	HTTP      *http.Client
	// OnConfigVersion is called with the owner's configuration version on each
	// message.
	OnConfigVersion func(version int64)
	// OnConfigCopy is called before with the row of that version if the message has it. ConfigVersion
	// returns the version in force. Both may be nil.
	OnConfigCopy  func(known catalog.Copy)
	ConfigVersion func() int64
	// OnStoreEra is called with the owner's era of the store on each message.
	OnStoreEra func(era int64)
	// Suspects receives the owner's suspects.
	Suspects SuspectReceiver
	Log      *slog.Logger

	// lastMessage is the time of the last message if a stream is open, heardAt that of the last one of any.
	lastMessage, heardAt monotime.Mark
}

// HeardSince reports whether a message has come since a time on the clock of monotime.
func (f *Follower) HeardSince(since time.Duration) bool {
	now := monotime.Now()
	age, heard := f.heardAt.Age(now)
	return heard && now-age >= since
}

// Fresh reports whether a message was received within streamTimeout.
func (f *Follower) Fresh() bool {
	age, ok := f.lastMessage.Age(monotime.Now())
	return ok && age < streamTimeout
}

// Run follows the owner's inventory until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		holder := f.Holder.Holder()
		if holder != "" && holder != f.Self {
			err := f.follow(ctx, holder)
			if f.lastMessage.Clear() {
				f.Log.Info("owner's inventory lost", "owner", holder, "error", err)
			}
		}
		if !pause.For(ctx, reconnectDelay) {
			break
		}
	}
	return ctx.Err()
}

// follow reads one stream until it ends or carries nothing for streamTimeout.
func (f *Follower) follow(ctx context.Context, holder string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, stop := progress.OnStall(ctx, streamTimeout, cancel)
	defer stop()
	url := fmt.Sprintf("http://%s%s?%s=%d&%s=1", holder, inventoryPath, suspectsVersionParam, f.Suspects.Received(), patchesParam)
	if f.ConfigVersion != nil {
		url += fmt.Sprintf("&%s=%d", configParam, f.ConfigVersion())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("fleet: request: %w", err)
	}
	resp, err := f.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := checkStatus(resp, holder); err != nil {
		return err
	}
	messages := newMessageReader(progress.Reader(ctx, resp.Body, minProgressBytes))
	recorder := inventory.Recorder{Inventory: f.Inventory, Log: f.Log}
	for {
		update, err := messages.next()
		if err != nil {
			return fmt.Errorf("fleet: inventory: %w", err)
		}
		progress.Report(ctx)
		now := monotime.Now()
		f.heardAt.Set(now)
		if f.lastMessage.Set(now) {
			f.Log.Info("owner's inventory followed", "owner", holder)
		}
		f.OnStoreEra(update.StoreEra)
		if update.Config != nil && f.OnConfigCopy != nil {
			f.OnConfigCopy(update.Config.copyOf(update.ConfigVersion))
		}
		f.OnConfigVersion(update.ConfigVersion)
		f.Suspects.Receive(update.Suspects, update.SuspectsVersion)
		recorder.Record(inventory.SourceOwner, update.Drains, time.Now())
		if update.Delta.Empty() {
			continue
		}
		if err := f.Inventory.Apply(update.Delta); err != nil {
			return fmt.Errorf("fleet: inventory: %w", err)
		}
	}
}

// messageReader reads the messages of a stream, of which each is bounded.
type messageReader struct {
	body    *httpclient.BoundedReader
	decoder *json.Decoder
}

func newMessageReader(body io.Reader) *messageReader {
	bounded := httpclient.NewBoundedReader(body, maxMessageBytes)
	return &messageReader{body: bounded, decoder: json.NewDecoder(bounded)}
}

// next returns the next message. Its error is httpclient.ErrTooLong for one of more than maxMessageBytes.
func (r *messageReader) next() (message, error) {
	r.body.Reset()
	var next message
	err := r.decoder.Decode(&next)
	return next, err
}
