"""Compares rate limiters of a team over many daemons, in virtual time.

The first limiter uses the threaded daemon's token buckets, as the owner of the
team's shard does; the others are baselines. All get the same arrivals. The reference is
one bucket that sees all arrivals in order: a request that it would admit and the
limiter refuses is a wrongful refusal. Requests that the limiter admits beyond rate
and burst in any window are an excess.
"""

import heapq
import random
from collections.abc import Callable, Iterator

from returns.result import Success

from apricotquay.buckets import ShardBuckets
from apricotquay.ids import TeamId

from .results import Row

RATE_PER_S = 20.0
BURST = 10
DURATION_S = 120.0
PREFETCHED_TOKENS = 2
PREFETCHED_TOKEN_TTL_S = 1.0
TEAM = TeamId("t")

# Whether a request at a time in seconds is admitted by the daemon of an index.
AdmitFunction = Callable[[float, int], bool]


def make_owner_limiter(daemons: int) -> AdmitFunction:
    """Return a limiter in which all daemons ask the shard's owner for each request."""
    buckets = ShardBuckets(0.0, full=True)

    def admit(now_s: float, daemon: int) -> bool:
        return isinstance(buckets.take(TEAM, RATE_PER_S, BURST, now_s), Success)

    return admit


def make_static_limiter(daemons: int) -> AdmitFunction:
    """Return a limiter that gives each daemon an equal share of rate and burst."""
    levels = [BURST / daemons] * daemons
    refilled_at_s = [0.0] * daemons

    def admit(now_s: float, daemon: int) -> bool:
        refilled = (now_s - refilled_at_s[daemon]) * RATE_PER_S / daemons
        # A bucket with a capacity below one token would never admit a request.
        capacity = max(1.0, BURST / daemons)
        levels[daemon] = min(capacity, levels[daemon] + refilled)
        refilled_at_s[daemon] = now_s
        if levels[daemon] < 1.0:
            return False
        levels[daemon] -= 1.0
        return True

    return admit


def make_prefetch_limiter(daemons: int) -> AdmitFunction:
    """Return a limiter in which daemons fetch a few tokens at a time and cache them."""
    buckets = ShardBuckets(0.0, full=True)
    cached: list[list[float]] = [[] for _ in range(daemons)]

    def admit(now_s: float, daemon: int) -> bool:
        cached[daemon] = [end_s for end_s in cached[daemon] if end_s > now_s]
        if not cached[daemon]:
            for _ in range(PREFETCHED_TOKENS):
                result = buckets.take(TEAM, RATE_PER_S, BURST, now_s)
                if isinstance(result, Success):
                    cached[daemon].append(now_s + PREFETCHED_TOKEN_TTL_S)
        if not cached[daemon]:
            return False
        cached[daemon].pop()
        return True

    return admit


LIMITERS: dict[str, Callable[[int], AdmitFunction]] = {
    "holder": make_owner_limiter,
    "static shares": make_static_limiter,
    "prefetch": make_prefetch_limiter,
}


def generate_arrivals(load_factor: float, rng: random.Random) -> list[float]:
    """Return Poisson arrivals at a multiple of the rate, some of them in bursts."""
    times_s = []
    now_s = 0.0
    while now_s < DURATION_S:
        size = 5 if rng.random() < 0.1 else 1
        times_s += [now_s] * size
        now_s += rng.expovariate(RATE_PER_S * load_factor / 1.4)
    return times_s


def compare_limiters(
    daemons: int, load_factor: float, skewed: bool, seed: int
) -> Iterator[tuple[str, float, float]]:
    """Yield each limiter's name, share of wrongful refusals, and excess in requests."""
    rng = random.Random(seed)
    times_s = generate_arrivals(load_factor, rng)
    # A skewed load balancer sends 90 % of the requests to a tenth of the daemons.
    target_count = max(1, daemons // 10)
    daemon_indexes = [
        rng.randrange(target_count)
        if skewed and rng.random() < 0.9
        else rng.randrange(daemons)
        for _ in times_s
    ]
    expected = find_expected_admissions(times_s)
    for name, make_limiter in LIMITERS.items():
        admit = make_limiter(daemons)
        admitted = [admit(t, d) for t, d in zip(times_s, daemon_indexes, strict=True)]
        wrongful = sum(
            1
            for should_admit, did_admit in zip(expected, admitted, strict=True)
            if should_admit and not did_admit
        )
        excess = compute_worst_excess(
            [t for t, did_admit in zip(times_s, admitted, strict=True) if did_admit]
        )
        yield name, wrongful / max(1, sum(expected)), excess


def find_expected_admissions(times_s: list[float]) -> list[bool]:
    """Return which arrivals one token bucket that sees them all would admit.

    This is the reference, so it shares no code with the buckets that are measured.
    """
    expected = []
    level, last_s = float(BURST), 0.0
    for now_s in times_s:
        level = min(BURST, level + (now_s - last_s) * RATE_PER_S)
        last_s = now_s
        expected.append(level >= 1.0 - 1e-9)
        level -= 1.0 if expected[-1] else 0.0
    return expected


def compute_worst_excess(admitted_s: list[float]) -> float:
    """Return by how many requests the worst window exceeds rate and burst.

    The window from i to j has an excess of j + 1 - i - rate (t_j - t_i) - burst. Its
    maximum for a given j needs only the smallest i - rate t_i so far.
    """
    worst = 0.0
    offsets: list[float] = []
    for j, t_s in enumerate(admitted_s):
        heapq.heappush(offsets, j - RATE_PER_S * t_s)
        worst = max(worst, j + 1 - RATE_PER_S * t_s - offsets[0] - BURST)
    return worst


def measure_rate_limits(seed: int = 1) -> Iterator[Row]:
    """Yield the rows of each limiter for each fleet size, load and balancer."""
    for daemons in (9, 370):
        for load_factor in (0.8, 5.0):
            for skewed in (False, True):
                balancer = "skewed" if skewed else "balanced"
                scenario = f"{daemons} daemons, {load_factor:g} x rate, {balancer}"
                for name, wrongful, excess in compare_limiters(
                    daemons, load_factor, skewed, seed
                ):
                    refused = f"{name}: wrongfully refused"
                    yield Row(scenario, refused, wrongful * 100, "%")
                    yield Row(scenario, f"{name}: worst excess", excess, "requests")
