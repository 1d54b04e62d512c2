package placement

// Policy bounds what a round may change. Loads are compared as the ratio of a
// target's load to its fair share, which is in proportion to its capacity.
type Policy struct {
	// HighWater is the ratio above which a target is relieved.
	HighWater float64
	// LowWater is the ratio at which relief stops. It lies below HighWater, so
	// that noise does not move slices back and forth.
	LowWater float64
	// IdleWater is the ratio below which a target attracts slices even if no
	// other target is above HighWater.
	IdleWater float64
	// MinRelief is the least relief of a move as a share of the mean target's load.
	MinRelief float64
	// NoiseSeconds is the time over which loads are averaged; imbalance within
	// two standard deviations of a Poisson process over it is noise.
	NoiseSeconds float64
	// MaxMoving is the number of planned moves for balance at a time.
	MaxMoving int
	// MaxEvacuating is the number of planned moves off leaving targets at a time.
	MaxEvacuating int
	// ChurnPerMinute is the share of the key space that may move in a minute
	// for the sake of balance.
	ChurnPerMinute float64
	// IsolateShare is the load of a key, as a share of the mean target's load,
	// from which it gets a slice of its own.
	IsolateShare float64
	// AbsorbShare is the load below which a hot key returns to its range.
	AbsorbShare float64
	// MaxHotKeys and MaxSlicesPerTarget bound the size of the cell's object.
	MaxHotKeys         int
	MaxSlicesPerTarget int
	// MaxShapes is the number of merges and of splits in one round.
	MaxShapes int
	// MaxNextChanges is the number of next owners in one round that change only
	// to spread the loss of a failure domain better.
	MaxNextChanges int
	// MaxPartnerChanges is the number of changes of partners in one round that
	// only spread the work better.
	MaxPartnerChanges int
}

// DefaultPolicy returns the bounds that daemons use.
func DefaultPolicy() Policy {
	return Policy{
		HighWater: 1.10, LowWater: 1.03, IdleWater: 0.8, MinRelief: 0.01, NoiseSeconds: 5,
		MaxMoving: 8, MaxEvacuating: 128, ChurnPerMinute: 0.3,
		IsolateShare: 0.05, AbsorbShare: 0.01,
		MaxHotKeys: 256, MaxSlicesPerTarget: 40, MaxShapes: 4, MaxNextChanges: 16, MaxPartnerChanges: 2,
	}
}
