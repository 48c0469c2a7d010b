package logic

// NewScanning makes a courier that picks what to look at by going through all that it holds.
func NewScanning(ch Charter) *Courier {
	c := New(ch)
	c.plan = scanning{}
	return c
}
