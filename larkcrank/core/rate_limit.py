"""The adaptive send limit of a server or a cell, after CARD, an algorithm for client-side rate limiting.

The limit is cut by a share when too many sends fail or are answered late, and regrows along a cubic curve.
Its state is `RateLimiter` of core/state.py. Times are milliseconds on the caller's clock; rates are per
millisecond.
"""

import math

from larkcrank.core.state import DecayingCounter, RateLimiter

LIMIT_CUT_SHARE = 0.20  # share of the send rate that one cut removes (beta in CARD)
# Windows from a cut until the limit is back at the send rate that caused the cut (CARD: "within tens of
# windows"). It determines the cubic factor C of CARD.
LIMIT_RECOVERY_WINDOWS = 10
HYSTERESIS_WINDOWS = 2  # minimum windows from a rise of the limit to the next cut (CARD: 10 ms / 5 ms)

# The limit is cut if the misses of an observation period exceed both the number and the share below.
ALLOWED_MISSES = 1.5  # misses that chance alone may cause
ALLOWED_MISS_SHARE = 0.25  # share of the sends to a server that may be missed by chance
# The same for a cell. If its servers are unequal, a quarter of its sends usually become late.
CELL_ALLOWED_MISS_SHARE = 0.5

RATE_TIME_CONSTANT_MS = 2000.0  # for the rates of requests, sends and answers


def record_send_result(
    limiter: RateLimiter,
    now: float,
    window_ms: float,
    observation_ms: float,
    sent_at: float,
    missed: bool,
) -> None:
    """Count one send as answered in time or missed."""
    if missed and sent_at < limiter.event_at:
        return  # Sends before the last cut are part of the overload that it responded to.
    limiter.settled.add(now, observation_ms)
    if missed:
        limiter.missed.add(now, observation_ms)
        update_limit(limiter, now, window_ms, observation_ms)


def update_limit(limiter: RateLimiter, now: float, window_ms: float, observation_ms: float) -> None:
    """Cut the limit if too many sends were missed; otherwise raise it along the cubic curve."""
    allowed_misses = max(ALLOWED_MISSES, limiter.share * limiter.settled.decayed(now, observation_ms))
    if limiter.missed.decayed(now, observation_ms) > allowed_misses:
        if now - limiter.rose_at > HYSTERESIS_WINDOWS * window_ms:
            rate = min(limiter.sends.rate(now, max(observation_ms, RATE_TIME_CONSTANT_MS)), limiter.limit)
            # The send rate that proved too high (M in CARD). It is averaged over a longer time than a pause
            # in sending, and is at least one send per observation period.
            limiter.saturated = max(rate, 1 / observation_ms)
            limiter.limit = (1 - LIMIT_CUT_SHARE) * limiter.saturated
            limiter.event_at = limiter.rose_at = now
            limiter.settled, limiter.missed = DecayingCounter(now), DecayingCounter(now)
    elif limiter.limit < math.inf:
        # The cubic curve of CARD is C * (t - K) ** 3 + M, where t is the time since the cut and M the rate
        # that proved too high. It starts at the reduced limit (t = 0) and reaches M at t = K, here
        # `recovery_ms`.
        recovery_ms = LIMIT_RECOVERY_WINDOWS * window_ms
        cubic_factor = LIMIT_CUT_SHARE * limiter.saturated / recovery_ms**3  # C
        limiter.limit = cubic_factor * (now - limiter.event_at - recovery_ms) ** 3 + limiter.saturated
        limiter.rose_at = now


def has_quota(limiter: RateLimiter, now: float, window_ms: float, observation_ms: float) -> bool:
    """Whether the limit allows a send now; refills the quota once per window."""
    if limiter.limit < math.inf and now >= limiter.window_at + window_ms:
        update_limit(limiter, now, window_ms, observation_ms)
        max_credit = max(1.0, limiter.limit * window_ms)
        limiter.credit = min(limiter.credit + limiter.limit * (now - limiter.window_at), max_credit)
        limiter.window_at = now
    return limiter.limit == math.inf or limiter.credit >= 1.0
