package pktimer

import (
	"context"
	"time"
)

// Sleep waits for d; it returns false if ctx is done first.
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

// SleepOrWake waits for d or a receive from wake; it returns false if ctx is done first.
func SleepOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
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

// Every calls do immediately and then once per period until ctx is done.
func Every(ctx context.Context, period time.Duration, do func(context.Context)) {
	EveryOrWake(ctx, period, nil, do, nil)
}

// EveryOrWake calls do immediately and then once per period until ctx is done. On each
// receive from wake in between it calls onWake.
func EveryOrWake(ctx context.Context, period time.Duration, wake <-chan struct{}, do, onWake func(context.Context)) {
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
			onWake(ctx)
		}
	}
}
