package pktimer

import (
	"context"
	"time"
)

// Sleep waits for d and says false if ctx ended before.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// SleepOr waits for d, or until something comes from a channel, and says false if ctx ended
// before.
func SleepOr(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	case <-wake:
	}
	return true
}

// Every calls do at once and then each period until ctx ends.
func Every(ctx context.Context, period time.Duration, do func(context.Context)) {
	EveryOr(ctx, period, nil, do, nil)
}

// EveryOr calls do at once and then each period, and early where something comes from
// a channel in between, until ctx ends.
func EveryOr(ctx context.Context, period time.Duration, wake <-chan struct{}, do, early func(context.Context)) {
	t := time.NewTicker(period)
	defer t.Stop()
	do(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			do(ctx)
		case <-wake:
			early(ctx)
		}
	}
}
