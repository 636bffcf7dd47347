package endpoints

// StreamUp notes that the stream from a controller has delivered.
func (d *Directory) StreamUp(source string) {
	d.setStream(source, true)
}

// StreamDown notes that the stream from a controller broke. What it sent
// stays, but nobody vouches for it.
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
	d.wake()
}

// Heard returns the state of an endpoint if the stream that it came from is
// up.
func (d *Directory) Heard(name string) (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, ok := d.entries[name]
	return entry, ok && d.live[entry.Source]
}
