"""The brief's measures on whole fleets of processes, each against a baseline."""

import os
import time
from collections.abc import Iterator

from standins.fleet import Fleet, FleetSpec, TeamSpec

from .load import Callers, Sample, cancel_job, engine_tokens, submit_job
from .results import Row, percentile

PHASE_S = 8.0
SETTLE_S = 2.0
IDLE_S = 6.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SMALL_TEAMS = tuple(f"small{n}" for n in range(6))
SHAPES = {
    "teranga": (["plateau", "almadies", "rufisque", "thies"], "quay-llm"),
    "pelletier": (["worcester", "providence", "nashua"], "desk-assist"),
}


def eight_teams(burst_rate_per_s: float) -> dict[str, TeamSpec]:
    """Return eight teams, two of them large."""
    teams = {name: TeamSpec(20.0, 20) for name in SMALL_TEAMS}
    large = TeamSpec(burst_rate_per_s, int(burst_rate_per_s))
    return {**teams, "large0": large, "large1": large}


def start_fleet(shape: str, daemons: int = 5, **fields) -> Fleet:
    """Start a fleet in the shape of a deployment, with fewer daemons."""
    zones, model = SHAPES[shape]
    spec = FleetSpec(
        daemons=daemons,
        engines=6,
        zones=zones,
        model=model,
        step_ms=25.0,
        slots=8,
        teams=fields.pop("teams", eight_teams(30.0)),
        **fields,
    )
    fleet = Fleet(spec)
    fleet.start()
    return fleet


def run_phase(fleet: Fleet, rates: dict[str, float], seconds: float) -> list[Sample]:
    """Send online requests of several teams for a while."""
    callers = [Callers(fleet, team, rate, 12) for team, rate in rates.items()]
    for caller in callers:
        caller.start()
    time.sleep(seconds)
    for caller in callers:
        caller.close()
    return [sample for caller in callers for sample in caller.samples]


def first_tokens(samples: list[Sample]) -> list[float]:
    """Return the times to the first token of answered requests."""
    return [s.first_token_ms for s in samples if s.status == 200]


def gaps(samples: list[Sample]) -> list[float]:
    """Return the times between tokens of answered requests."""
    return [gap for s in samples if s.status == 200 for gap in s.gaps_ms]


def measure_harm(shape: str) -> Iterator[Row]:
    """Online latency with batch against without, and batch throughput."""
    fleet = start_fleet(shape)
    rates = {team: 2.0 for team in SMALL_TEAMS}
    try:
        alone: list[Sample] = []
        beside: list[Sample] = []
        shares: list[float] = []
        # Alternating phases, so that a slow spell of the machine meets both.
        for turn in range(3):
            alone += run_phase(fleet, rates, PHASE_S)
            batch = submit_job(fleet, 0, "large0", f"night{turn}", 4000, 40)
            time.sleep(SETTLE_S * 2)
            before, started_s = engine_tokens(fleet), time.monotonic()
            samples = run_phase(fleet, rates, PHASE_S)
            made = engine_tokens(fleet) - before
            beside += samples
            length_s = time.monotonic() - started_s
            capacity = 6 * fleet.spec.slots * length_s / (fleet.spec.step_ms / 1000)
            online = sum(1 for s in samples if s.status == 200) * 12
            shares.append((made - online) / (capacity - online))
            cancel_job(fleet, 0, "large0", batch["id"])
            time.sleep(SETTLE_S)
    finally:
        fleet.close()
    for share, label in ((0.5, "p50"), (0.99, "p99"), (0.999, "p99.9")):
        yield Row(
            f"{shape}: online beside batch, against without",
            f"first token {label}",
            percentile(first_tokens(beside), share),
            "ms",
            percentile(first_tokens(alone), share),
        )
    for share, label in ((0.5, "p50"), (0.99, "p99")):
        yield Row(
            f"{shape}: online beside batch, against without",
            f"between tokens {label}",
            percentile(gaps(beside), share),
            "ms",
            percentile(gaps(alone), share),
        )
    failed = sum(1 for s in beside + alone if s.status != 200)
    yield Row(f"{shape}: online beside batch", "requests not answered", failed, "")
    mean = sum(shares) / len(shares)
    yield Row(f"{shape}: batch tokens", "share of idle slots", mean * 100, "%")


def measure_fairness(shape: str) -> Iterator[Row]:
    """The worst-served small team while a large one sends five times its rate."""
    fleet = start_fleet(shape, teams=eight_teams(10.0))
    rates = {**{team: 3.0 for team in SMALL_TEAMS}, "large0": 50.0}
    try:
        samples = run_phase(fleet, rates, PHASE_S * 2)
    finally:
        fleet.close()
    tails = sorted(
        percentile(first_tokens([s for s in samples if s.team == team]), 0.99)
        for team in SMALL_TEAMS
    )
    name = f"{shape}: a team at 5 x its rate"
    middle = tails[len(tails) // 2]
    yield Row(name, "worst small team's p99 to median's", tails[-1], "ms", middle)
    small = [s for s in samples if s.team != "large0"]
    refused = sum(1 for s in small if s.status != 200)
    yield Row(name, "small teams' requests refused", refused, "")
    admitted = sum(1 for s in samples if s.team == "large0" and s.status == 200)
    yield Row(name, "large team's admitted", admitted, "", 10 + 10 * PHASE_S * 2)


def measure_refusals(shape: str) -> Iterator[Row]:
    """Wrongful refusals in the calm and around the loss of a holder."""
    fleet = start_fleet(shape)
    rates = {team: 10.0 for team in SMALL_TEAMS}
    try:
        calm = run_phase(fleet, rates, PHASE_S)
        name = f"{shape}: half the rate"
        refused = sum(1 for s in calm if s.status != 200)
        yield Row(name, "refused in the calm", refused, "", len(calm))
        callers = [Callers(fleet, t, r, 12, [0, 1, 2, 3]) for t, r in rates.items()]
        for caller in callers:
            caller.start()
        time.sleep(3.0)
        fleet.kill_daemon(4)
        time.sleep(PHASE_S)
        for caller in callers:
            caller.close()
        samples = [s for caller in callers for s in caller.samples]
        refused = sum(1 for s in samples if s.status != 200)
        yield Row(name, "refused around a lost daemon", refused, "", len(samples))
        slowest = max(first_tokens(samples))
        yield Row(name, "slowest first token around it", slowest, "ms")
    finally:
        fleet.close()


class Usage:
    """Processor time, memory and messages of one daemon over a while."""

    def __init__(self, fleet: Fleet, index: int) -> None:
        self._fleet: Fleet = fleet
        self._index: int = index
        self._pid: int = fleet.daemons[index].process.pid
        self._cpu_s: float = process_cpu_s(self._pid)
        self._bytes: int = fleet.status(index)["peer_bytes"]
        self._started_s: float = time.monotonic()

    def rows(self, scenario: str) -> Iterator[Row]:
        """Yield what was used since the start."""
        length_s = time.monotonic() - self._started_s
        cpu = (process_cpu_s(self._pid) - self._cpu_s) / length_s * 100
        moved = self._fleet.status(self._index)["peer_bytes"] - self._bytes
        yield Row(scenario, "processor time", cpu, "% of a core")
        yield Row(scenario, "memory", process_memory_mb(self._pid), "MB")
        yield Row(scenario, "bytes between daemons", moved / length_s, "B/s")


def process_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def process_memory_mb(pid: int) -> float:
    """Return a process's resident memory."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES / 1e6


def measure_control() -> Iterator[Row]:
    """An idle daemon in fleets of several sizes, for the slopes."""
    for daemons in (3, 9, 18):
        fleet = start_fleet("teranga", daemons=daemons)
        try:
            time.sleep(6.0)
            usage = Usage(fleet, 0)
            time.sleep(PHASE_S)
            yield from usage.rows(f"idle daemon, {daemons} daemons")
        finally:
            fleet.close()


def measure_relay() -> Iterator[Row]:
    """Processor time per request and per token, against a bare relay."""
    fleet = start_fleet("teranga", daemons=1)
    try:
        for tokens, figure in (
            (1, "per request of 1 token"),
            (51, "per request of 51 tokens"),
        ):
            daemon_us = _cpu_us_per_request(
                fleet, fleet.daemons[0].caller.url, fleet.daemons[0].process.pid, tokens
            )
            relay = fleet.start_relay()
            relay_us = _cpu_us_per_request(
                fleet, relay.address.url, relay.process.pid, tokens
            )
            relay.process.kill()
            yield Row("daemon against bare relay", figure, daemon_us, "us", relay_us)
    finally:
        fleet.close()


def _cpu_us_per_request(fleet: Fleet, url: str, pid: int, tokens: int) -> float:
    """Return the processor time of a request beyond what the process uses idle."""
    count = 200 if tokens == 1 else 30
    body = {
        "model": fleet.spec.model,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "cost"}],
    }
    headers = {"authorization": f"Bearer {fleet.keys['large0']}"}
    path = f"{url}/v1/chat/completions"
    before_s, started_s = process_cpu_s(pid), time.monotonic()
    time.sleep(IDLE_S)
    idle = (process_cpu_s(pid) - before_s) / (time.monotonic() - started_s)
    before_s, started_s = process_cpu_s(pid), time.monotonic()
    for _ in range(count):
        fleet.http.request("POST", path, json=body, headers=headers, timeout=60.0)
        time.sleep(0.034)
    used_s = process_cpu_s(pid) - before_s
    used_s -= idle * (time.monotonic() - started_s)
    return used_s / count * 1e6


def measure_all() -> Iterator[Row]:
    """Yield every row."""
    for shape in SHAPES:
        yield from measure_harm(shape)
        yield from measure_fairness(shape)
        yield from measure_refusals(shape)
    yield from measure_relay()
    yield from measure_control()
