"""Ways to keep a team's rate over many daemons, compared in virtual time.

The holder's own modules decide; the other ways are baselines written here. All
see the same arrivals. The judge is one bucket that sees every arrival in order:
what it would have admitted and the way refused is a wrongful refusal, what the
way admitted beyond rate and burst in any window is an excess.
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
LENGTH_S = 120.0
GRANT_TOKENS = 2
GRANT_KEPT_S = 1.0
DRAWN = TeamId("t")

Way = Callable[[float, int], bool]


def holder_way(daemons: int) -> Way:
    """Every daemon asks one holder for each request."""
    buckets = ShardBuckets(0.0, full=True)

    def admit(now_s: float, daemon: int) -> bool:
        return isinstance(buckets.take(DRAWN, RATE_PER_S, BURST, now_s), Success)

    return admit


def static_shares_way(daemons: int) -> Way:
    """Every daemon has an equal share of rate and burst."""
    levels = [BURST / daemons] * daemons
    refilled_s = [0.0] * daemons

    def admit(now_s: float, daemon: int) -> bool:
        grown = (now_s - refilled_s[daemon]) * RATE_PER_S / daemons
        # A share below one whole token could never admit anything.
        cap = max(1.0, BURST / daemons)
        levels[daemon] = min(cap, levels[daemon] + grown)
        refilled_s[daemon] = now_s
        if levels[daemon] < 1.0:
            return False
        levels[daemon] -= 1.0
        return True

    return admit


def prefetch_way(daemons: int) -> Way:
    """Every daemon takes some tokens at a time and keeps them for a while."""
    buckets = ShardBuckets(0.0, full=True)
    kept: list[list[float]] = [[] for _ in range(daemons)]

    def admit(now_s: float, daemon: int) -> bool:
        kept[daemon] = [end_s for end_s in kept[daemon] if end_s > now_s]
        if not kept[daemon]:
            for _ in range(GRANT_TOKENS):
                taken = buckets.take(DRAWN, RATE_PER_S, BURST, now_s)
                if isinstance(taken, Success):
                    kept[daemon].append(now_s + GRANT_KEPT_S)
        if not kept[daemon]:
            return False
        kept[daemon].pop()
        return True

    return admit


WAYS: dict[str, Callable[[int], Way]] = {
    "holder": holder_way,
    "static shares": static_shares_way,
    "prefetch": prefetch_way,
}


def arrivals(load: float, rng: random.Random) -> list[float]:
    """Return Poisson arrivals at a multiple of the rate, some in small bursts."""
    times_s = []
    now_s = 0.0
    while now_s < LENGTH_S:
        size = 5 if rng.random() < 0.1 else 1
        times_s += [now_s] * size
        now_s += rng.expovariate(RATE_PER_S * load / 1.4)
    return times_s


def compare_limiters(
    daemons: int, load: float, skewed: bool, seed: int
) -> Iterator[tuple[str, float, float]]:
    """Yield for each way the wrongful refusals and the excess, as shares."""
    rng = random.Random(seed)
    times_s = arrivals(load, rng)
    # A skewed balancer sends nine in ten requests to a tenth of the daemons.
    few = max(1, daemons // 10)
    targets = [
        rng.randrange(few) if skewed and rng.random() < 0.9 else rng.randrange(daemons)
        for _ in times_s
    ]
    inside = plain_count(times_s)
    for name, make in WAYS.items():
        admit = make(daemons)
        got = [admit(t, d) for t, d in zip(times_s, targets, strict=True)]
        wrongful = sum(
            1 for right, was in zip(inside, got, strict=True) if right and not was
        )
        excess = worst_excess([t for t, was in zip(times_s, got, strict=True) if was])
        yield name, wrongful / max(1, sum(inside)), excess


def plain_count(times_s: list[float]) -> list[bool]:
    """Return which arrivals one counter that sees them all would admit.

    The judge: written apart from the buckets that are measured.
    """
    inside = []
    level, last_s = float(BURST), 0.0
    for now_s in times_s:
        level = min(BURST, level + (now_s - last_s) * RATE_PER_S)
        last_s = now_s
        inside.append(level >= 1.0 - 1e-9)
        level -= 1.0 if inside[-1] else 0.0
    return inside


def worst_excess(admitted_s: list[float]) -> float:
    """Return by how many requests the worst window is over rate and burst.

    Over windows that end at j the excess is j + 1 - i - rate (t_j - t_i) - burst;
    its largest value needs only the smallest i - rate t_i so far.
    """
    worst = 0.0
    lowest: list[float] = []
    for j, t_s in enumerate(admitted_s):
        heapq.heappush(lowest, j - RATE_PER_S * t_s)
        worst = max(worst, j + 1 - RATE_PER_S * t_s - lowest[0] - BURST)
    return worst


def measure_rate_limits(seed: int = 1) -> Iterator[Row]:
    """Yield a row for each way, size, load and balancer."""
    for daemons in (9, 370):
        for load in (0.8, 5.0):
            for skewed in (False, True):
                balancer = "skewed" if skewed else "balanced"
                scenario = f"{daemons} daemons, {load:g} x rate, {balancer}"
                for name, wrongful, excess in compare_limiters(
                    daemons, load, skewed, seed
                ):
                    refused = f"{name}: wrongfully refused"
                    yield Row(scenario, refused, wrongful * 100, "%")
                    yield Row(scenario, f"{name}: worst excess", excess, "requests")
