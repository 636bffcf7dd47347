package lease

import (
	"context"
	"encoding/json"
	"errors"
)

// writeGrant writes the record of a new grant over a version of the row, and
// returns the grant's fencing token.
func (k *Keeper) writeGrant(ctx context.Context, version int64, record Record) (int64, error) {
	written, err := k.write(ctx, version, record)
	if err != nil && !errors.Is(err, ErrConflict) {
		written, err = k.verifyWrite(ctx, record)
	}
	if err != nil {
		return 0, err
	}
	if written.Era != record.Era {
		return 0, ErrRestored
	}
	return position{written.Era, written.Version}.token()
}

// verifyWrite reads the row back after a write with unknown outcome. It returns
// ErrConflict if the write did not take effect.
func (k *Keeper) verifyWrite(ctx context.Context, record Record) (Row, error) {
	r, err := k.read(ctx)
	if err := errors.Join(err, r.clockErr); err != nil {
		return Row{}, err
	}
	if r.decoded && r.record == record {
		return r.row, nil
	}
	return Row{}, ErrConflict
}

// read reads and decodes the row. It returns ErrEarlierEra if the answer is of
// an earlier era than another answer or the record in it. An answer that could
// not be timed is returned with clockErr and not recorded.
func (k *Keeper) read(ctx context.Context) (reading, error) {
	sentAt, clockErr := k.now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := k.Store.Read(ctx)
	if err != nil {
		return reading{}, err
	}
	answeredAt, err := k.now()
	r := decode(row, k.Log)
	r.sentAt, r.answeredAt, r.clockErr = sentAt, answeredAt, errors.Join(clockErr, err)
	if r.decoded && r.record.Era > row.Era {
		return reading{}, ErrEarlierEra
	}
	if r.clockErr != nil {
		return r, nil
	}
	return r, k.accept(r)
}

// write writes a record over a version of the row.
func (k *Keeper) write(ctx context.Context, version int64, record Record) (Row, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return Row{}, err
	}
	sentAt, clockErr := k.now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := k.Store.Write(ctx, version, value)
	if err != nil {
		return Row{}, err
	}
	answeredAt, err := k.now()
	if err := errors.Join(clockErr, err); err != nil {
		return Row{}, err
	}
	r := reading{row: row, record: record, decoded: true, sentAt: sentAt, answeredAt: answeredAt}
	return row, k.accept(r)
}
