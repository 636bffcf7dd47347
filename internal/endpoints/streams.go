package endpoints

// StreamUp records that the stream from a controller has delivered a delta.
func (d *Directory) StreamUp(source string) {
	d.setStream(source, true)
}

// StreamDown records that the stream from a controller failed. The entries that
// it sent remain, but GetLive no longer reports them.
func (d *Directory) StreamDown(source string) {
	d.setStream(source, false)
}

func (d *Directory) setStream(source string, up bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.live[source] == up {
		return
	}
	d.live[source] = up
	d.notify()
}

// GetLive returns an endpoint, and whether it is known and the stream that it
// came from is connected.
func (d *Directory) GetLive(name string) (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, ok := d.entries[name]
	return entry, ok && d.live[entry.Source]
}
