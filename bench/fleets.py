"""Measures fleets of threaded daemons, most figures against a baseline."""

import os
import time
from collections.abc import Iterator

from standins.fleet import Fleet, FleetSpec, TeamSpec

from .loadgenerator import (
    OpenLoopGenerator,
    Sample,
    cancel_job,
    count_engine_tokens,
    submit_job,
)
from .results import Row, percentile

PHASE_DURATION_S = 8.0
SETTLING_TIME_S = 2.0
IDLE_MEASUREMENT_S = 6.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SMALL_TEAMS = tuple(f"small{n}" for n in range(6))
DEPLOYMENT_SHAPES = {
    "teranga": (["plateau", "almadies", "rufisque", "thies"], "quay-llm"),
    "pelletier": (["worcester", "providence", "nashua"], "desk-assist"),
}


def make_teams(large_rate_per_s: float) -> dict[str, TeamSpec]:
    """Return six small teams and two large ones."""
    teams = {name: TeamSpec(20.0, 20) for name in SMALL_TEAMS}
    large = TeamSpec(large_rate_per_s, int(large_rate_per_s))
    return {**teams, "large0": large, "large1": large}


def start_fleet(shape: str, daemons: int = 5, **fields) -> Fleet:
    """Start a fleet with the zones and model of a deployment, but fewer daemons."""
    zones, model = DEPLOYMENT_SHAPES[shape]
    spec = FleetSpec(
        daemons=daemons,
        engines=6,
        zones=zones,
        model=model,
        step_ms=25.0,
        slots=8,
        teams=fields.pop("teams", make_teams(30.0)),
        **fields,
    )
    fleet = Fleet(spec)
    fleet.start()
    return fleet


def run_phase(
    fleet: Fleet, rates_per_s: dict[str, float], seconds: float
) -> list[Sample]:
    """Send online requests of several teams and return their samples."""
    generators = [
        OpenLoopGenerator(fleet, team, rate, 12) for team, rate in rates_per_s.items()
    ]
    for generator in generators:
        generator.start()
    time.sleep(seconds)
    for generator in generators:
        generator.close()
    return [sample for generator in generators for sample in generator.samples]


def select_first_token_times(samples: list[Sample]) -> list[float]:
    """Return the times to first token of the successful requests, in milliseconds."""
    return [s.first_token_ms for s in samples if s.status == 200]


def select_token_gaps(samples: list[Sample]) -> list[float]:
    """Return the times between tokens of the successful requests, in milliseconds."""
    return [gap for s in samples if s.status == 200 for gap in s.gaps_ms]


def measure_batch_interference(shape: str) -> Iterator[Row]:
    """Measure online latency with and without batch work, and batch throughput."""
    fleet = start_fleet(shape)
    rates_per_s = {team: 2.0 for team in SMALL_TEAMS}
    try:
        without_batch: list[Sample] = []
        with_batch: list[Sample] = []
        used_shares: list[float] = []
        # The phases alternate so that a slowdown of the machine affects both.
        for round_index in range(3):
            without_batch += run_phase(fleet, rates_per_s, PHASE_DURATION_S)
            batch = submit_job(fleet, 0, "large0", f"night{round_index}", 4000, 40)
            time.sleep(SETTLING_TIME_S * 2)
            tokens_before, started_s = count_engine_tokens(fleet), time.monotonic()
            samples = run_phase(fleet, rates_per_s, PHASE_DURATION_S)
            generated_tokens = count_engine_tokens(fleet) - tokens_before
            with_batch += samples
            duration_s = time.monotonic() - started_s
            capacity = 6 * fleet.spec.slots * duration_s / (fleet.spec.step_ms / 1000)
            online = sum(1 for s in samples if s.status == 200) * 12
            used_shares.append((generated_tokens - online) / (capacity - online))
            cancel_job(fleet, 0, "large0", batch["id"])
            time.sleep(SETTLING_TIME_S)
    finally:
        fleet.close()
    for share, label in ((0.5, "p50"), (0.99, "p99"), (0.999, "p99.9")):
        yield Row(
            f"{shape}: online beside batch, against without",
            f"first token {label}",
            percentile(select_first_token_times(with_batch), share),
            "ms",
            percentile(select_first_token_times(without_batch), share),
        )
    for share, label in ((0.5, "p50"), (0.99, "p99")):
        yield Row(
            f"{shape}: online beside batch, against without",
            f"between tokens {label}",
            percentile(select_token_gaps(with_batch), share),
            "ms",
            percentile(select_token_gaps(without_batch), share),
        )
    failed_count = sum(1 for s in with_batch + without_batch if s.status != 200)
    yield Row(
        f"{shape}: online beside batch", "requests not answered", failed_count, ""
    )
    mean = sum(used_shares) / len(used_shares)
    yield Row(f"{shape}: batch tokens", "share of idle slots", mean * 100, "%")


def measure_fairness(shape: str) -> Iterator[Row]:
    """Measure the slowest small team while a large one sends five times its rate."""
    fleet = start_fleet(shape, teams=make_teams(10.0))
    rates_per_s = {**{team: 3.0 for team in SMALL_TEAMS}, "large0": 50.0}
    try:
        samples = run_phase(fleet, rates_per_s, PHASE_DURATION_S * 2)
    finally:
        fleet.close()
    p99s_ms = sorted(
        percentile(
            select_first_token_times([s for s in samples if s.team == team]), 0.99
        )
        for team in SMALL_TEAMS
    )
    name = f"{shape}: a team at 5 x its rate"
    median_ms = p99s_ms[len(p99s_ms) // 2]
    yield Row(name, "worst small team's p99 to median's", p99s_ms[-1], "ms", median_ms)
    small = [s for s in samples if s.team != "large0"]
    refused_count = sum(1 for s in small if s.status != 200)
    yield Row(name, "small teams' requests refused", refused_count, "")
    admitted_count = sum(1 for s in samples if s.team == "large0" and s.status == 200)
    yield Row(
        name,
        "large team's admitted",
        admitted_count,
        "",
        10 + 10 * PHASE_DURATION_S * 2,
    )


def measure_refusals(shape: str) -> Iterator[Row]:
    """Measure wrongful refusals under normal load and while a shard owner crashes."""
    fleet = start_fleet(shape)
    rates_per_s = {team: 10.0 for team in SMALL_TEAMS}
    try:
        before_crash = run_phase(fleet, rates_per_s, PHASE_DURATION_S)
        name = f"{shape}: half the rate"
        refused_count = sum(1 for s in before_crash if s.status != 200)
        yield Row(name, "refused in the calm", refused_count, "", len(before_crash))
        generators = [
            OpenLoopGenerator(fleet, t, r, 12, [0, 1, 2, 3])
            for t, r in rates_per_s.items()
        ]
        for generator in generators:
            generator.start()
        time.sleep(3.0)
        fleet.kill_daemon(4)
        time.sleep(PHASE_DURATION_S)
        for generator in generators:
            generator.close()
        samples = [s for generator in generators for s in generator.samples]
        refused_count = sum(1 for s in samples if s.status != 200)
        yield Row(name, "refused around a lost daemon", refused_count, "", len(samples))
        slowest = max(select_first_token_times(samples))
        yield Row(name, "slowest first token around it", slowest, "ms")
    finally:
        fleet.close()


class ResourceUsage:
    """Measures processor time, memory and peer traffic of one daemon."""

    def __init__(self, fleet: Fleet, index: int) -> None:
        self._fleet: Fleet = fleet
        self._index: int = index
        self._pid: int = fleet.daemons[index].process.pid
        self._cpu_s: float = read_cpu_s(self._pid)
        self._bytes: int = fleet.status(index)["peer_bytes"]
        self._started_s: float = time.monotonic()

    def make_rows(self, scenario: str) -> Iterator[Row]:
        """Yield the usage since this object was created."""
        duration_s = time.monotonic() - self._started_s
        cpu = (read_cpu_s(self._pid) - self._cpu_s) / duration_s * 100
        transferred_bytes = self._fleet.status(self._index)["peer_bytes"] - self._bytes
        yield Row(scenario, "processor time", cpu, "% of a core")
        yield Row(scenario, "memory", read_memory_mb(self._pid), "MB")
        yield Row(
            scenario, "bytes between daemons", transferred_bytes / duration_s, "B/s"
        )


def read_cpu_s(pid: int) -> float:
    """Return the processor time used by a process so far, in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES / 1e6


def measure_idle_cost() -> Iterator[Row]:
    """Measure an idle daemon in fleets of several sizes, to see how usage grows."""
    for daemons in (3, 9, 18):
        fleet = start_fleet("teranga", daemons=daemons)
        try:
            time.sleep(6.0)
            usage = ResourceUsage(fleet, 0)
            time.sleep(PHASE_DURATION_S)
            yield from usage.make_rows(f"idle daemon, {daemons} daemons")
        finally:
            fleet.close()


def measure_relay_overhead() -> Iterator[Row]:
    """Measure processor time per request and token against a minimal relay."""
    fleet = start_fleet("teranga", daemons=1)
    try:
        for tokens, figure in (
            (1, "per request of 1 token"),
            (51, "per request of 51 tokens"),
        ):
            daemon_us = _measure_cpu_us(
                fleet, fleet.daemons[0].caller.url, fleet.daemons[0].process.pid, tokens
            )
            relay = fleet.start_relay()
            relay_us = _measure_cpu_us(
                fleet, relay.address.url, relay.process.pid, tokens
            )
            relay.process.kill()
            yield Row("daemon against bare relay", figure, daemon_us, "us", relay_us)
    finally:
        fleet.close()


def _measure_cpu_us(fleet: Fleet, url: str, pid: int, tokens: int) -> float:
    """Return the processor time per request, less what the idle process uses."""
    count = 200 if tokens == 1 else 30
    body = {
        "model": fleet.spec.model,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "cost"}],
    }
    headers = {"authorization": f"Bearer {fleet.keys['large0']}"}
    path = f"{url}/v1/chat/completions"
    before_s, started_s = read_cpu_s(pid), time.monotonic()
    time.sleep(IDLE_MEASUREMENT_S)
    idle = (read_cpu_s(pid) - before_s) / (time.monotonic() - started_s)
    before_s, started_s = read_cpu_s(pid), time.monotonic()
    for _ in range(count):
        fleet.http.request("POST", path, json=body, headers=headers, timeout=60.0)
        time.sleep(0.034)
    cpu_s = read_cpu_s(pid) - before_s
    cpu_s -= idle * (time.monotonic() - started_s)
    return cpu_s / count * 1e6


def measure_all() -> Iterator[Row]:
    """Yield every row."""
    for shape in DEPLOYMENT_SHAPES:
        yield from measure_batch_interference(shape)
        yield from measure_fairness(shape)
        yield from measure_refusals(shape)
    yield from measure_relay_overhead()
    yield from measure_idle_cost()
