package policy

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// levelTolerance is the rounding error, in units, that a level comparison allows.
const levelTolerance = 1e-4

// TokenBucket is a token bucket whose rate and capacity can change. Its level can go
// below zero and then refills at the bucket's rate. The zero value is an empty
// bucket with rate and capacity 0.
type TokenBucket struct {
	level     float64 // units
	rate      float64 // units per second
	capacity  float64 // units
	updatedAt domain.Instant
}

// NewTokenBucket returns an empty bucket whose refill time counts from the given instant.
func NewTokenBucket(since domain.Instant) TokenBucket { return TokenBucket{updatedAt: since} }

// SetLimits changes the rate, in units per second, and the capacity, in units. Units
// above the new capacity are discarded.
func (b *TokenBucket) SetLimits(now domain.Instant, rate, capacity float64) {
	b.refill(now)
	b.rate = rate
	b.capacity = capacity
	b.level = min(b.level, capacity)
}

// Has reports whether the bucket holds at least n units.
func (b *TokenBucket) Has(now domain.Instant, n float64) bool {
	b.refill(now)
	return b.level >= n-levelTolerance
}

// Charge removes n units even if the bucket holds fewer. A negative n refunds
// units, up to the capacity.
func (b *TokenBucket) Charge(now domain.Instant, n float64) {
	b.refill(now)
	b.level = min(b.level-n, b.capacity)
}

// WaitTime returns the time until the bucket holds n units, 0 if it does already. It
// is negative if the bucket can't reach n units at its rate and capacity.
func (b *TokenBucket) WaitTime(now domain.Instant, n float64) time.Duration {
	b.refill(now)
	switch {
	case b.level >= n-levelTolerance:
		return 0
	case b.rate <= 0 || n-levelTolerance > b.capacity:
		return -1
	}
	return time.Duration((n - b.level) / b.rate * float64(time.Second))
}

// Rate returns the refill rate in units per second.
func (b *TokenBucket) Rate() float64 { return b.rate }

// Capacity returns the maximum level in units.
func (b *TokenBucket) Capacity() float64 { return b.capacity }

// refill adds the units gained since the last update. A time before the last update is
// ignored.
func (b *TokenBucket) refill(now domain.Instant) {
	if now <= b.updatedAt {
		return
	}
	b.level = min(b.capacity, b.level+b.rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
}
