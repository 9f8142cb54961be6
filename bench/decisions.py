"""Time and memory of the threaded daemon's decision modules, in one thread.

Each is measured for several sizes of its state.
"""

import json
import random
import time
import tracemalloc
from collections.abc import Callable, Iterator

from apricotquay.buckets import ShardBuckets
from apricotquay.configuration import ConfigState
from apricotquay.document import parse_document
from apricotquay.fairness import FairQueue
from apricotquay.ids import (
    Incarnation,
    JobId,
    MemberId,
    ResourceName,
    TeamId,
    hash_key,
)
from apricotquay.jobs import PartitionState
from apricotquay.membership import MemberView, VmEntry
from apricotquay.messages import Probe, TakeToken, encode_frame
from apricotquay.records import (
    Claim,
    ConfigPublished,
    Envelope,
    ItemResult,
    ItemResults,
    JobAccepted,
    compress_text,
    encode_envelope,
)
from apricotquay.routing import EndpointTable
from apricotquay.snapshots import restore_state, snapshot_records
from apricotquay.submission import check_submission, split_into_chunks

from .results import Row

TEAM_COUNTS = (8, 100, 1000, 3300)
ENDPOINT_COUNTS = (6, 60, 600)
DAEMON_COUNTS = (10, 100, 370)
ITEM_COUNTS = (1_000, 10_000, 66_000)
RESULTS_PER_RECORD = 200
REPEATS = 5


def measure_best_us(task: Callable[[], object], count: int) -> float:
    """Return the mean microseconds per call of `count` calls, in the best repeat."""
    best = float("inf")
    for _ in range(REPEATS):
        started_s = time.perf_counter()
        for _ in range(count):
            task()
        best = min(best, (time.perf_counter() - started_s) / count)
    return best * 1e6


def make_document_text(teams: int) -> str:
    """Return an environment document with teams of one key each."""
    value = {
        "teams": {
            f"team{n}": {
                "rate_per_s": 5,
                "burst": 10,
                "keys": [{"hash": hash_key(f"k{n}")}],
            }
            for n in range(teams)
        },
        "models": {"m": {}},
        "routes": {"m": {"kind": "model", "target": "m"}},
    }
    return json.dumps(value)


def measure_teams() -> Iterator[Row]:
    """Measure configuration, token buckets and fair queue by number of teams."""
    for teams in TEAM_COUNTS:
        text = make_document_text(teams)
        record = ConfigPublished(0, compress_text(text), "op", 0)
        envelope = Envelope("w", 1, record)

        def apply_record(envelope=envelope) -> None:
            ConfigState().apply(0, envelope)

        name = f"{teams} teams"
        yield Row(
            name, "configuration folded", measure_best_us(apply_record, 3) / 1000, "ms"
        )
        size = len(encode_envelope(envelope))
        yield Row(name, "configuration record", size, "B")
        yield Row(name, "bucket decision", _measure_bucket_us(teams), "us")
        yield Row(name, "fair queue push and pop", _measure_queue_us(teams), "us")


def _measure_bucket_us(teams: int) -> float:
    buckets = ShardBuckets(0.0, full=True)
    names = [TeamId(f"team{n}") for n in range(teams)]
    now_s = 0.0

    def take() -> None:
        nonlocal now_s
        now_s += 0.001
        buckets.take(names[int(now_s * 1000) % teams], 5.0, 10, now_s)

    return measure_best_us(take, 20_000)


def _measure_queue_us(teams: int) -> float:
    queue: FairQueue[int] = FairQueue(1000)
    for n in range(teams):
        queue.push(TeamId(f"team{n}"), 1.0, 100.0, n)

    def pop_and_push() -> None:
        work = queue.pop()
        queue.push(TeamId(f"team{work}"), 1.0, 100.0, work)

    return measure_best_us(pop_and_push, 20_000)


def _make_vm(vm_id: str, kind: str, zone: int) -> VmEntry:
    return VmEntry(vm_id, kind, "127.0.0.1", 1, f"zone{zone}", serves="m")


def measure_endpoints() -> Iterator[Row]:
    """Measure the choice of an endpoint by number of endpoints."""
    for count in ENDPOINT_COUNTS:
        table = EndpointTable(MemberId("d0"), "zone0", 8)
        entries = [_make_vm(f"e{n}", "model", n % 5) for n in range(count)]
        members = [MemberId(f"d{n}") for n in range(37)]
        table.apply_vm_list(entries, members)
        rng = random.Random(1)

        def choose(table=table, rng=rng) -> None:
            table.choose("m", "prefix", set(), 0.0, rng)

        yield Row(f"{count} endpoints", "choice", measure_best_us(choose, 5_000), "us")


def measure_daemons() -> Iterator[Row]:
    """Measure the membership view by number of daemons."""
    for count in DAEMON_COUNTS:
        view = MemberView(MemberId("d0"), 1.0)
        entries = [_make_vm(f"d{n}", "entry", n % 5) for n in range(count)]
        view.apply_vm_list(entries, 0.0)
        name = f"{count} daemons"

        def order_after_change(view=view) -> None:
            view._record_change()
            view.preferred("rate-0")

        def reuse_order(view=view) -> None:
            view.preferred("rate-0")

        def tick(view=view) -> None:
            view.tick(0.5)

        yield Row(
            name, "order after a change", measure_best_us(order_after_change, 50), "us"
        )
        yield Row(name, "order kept", measure_best_us(reuse_order, 5_000), "us")
        yield Row(name, "tick", measure_best_us(tick, 200), "us")


def measure_items() -> Iterator[Row]:
    """Measure checking, applying, snapshot and restore of a job by number of items."""
    document = parse_document(make_document_text(8))
    for count in ITEM_COUNTS:
        name = f"{count} items"
        lines = b"\n".join(_make_item_line(n) for n in range(count))
        started_s = time.perf_counter()
        submission = check_submission(document, TeamId("team1"), lines)
        yield Row(name, "lines checked", time.perf_counter() - started_s, "s")
        records = _make_job_records(submission, count)
        sizes = [len(encode_envelope(Envelope("w", n, r))) for n, r in records]
        yield Row(name, "appends per 1,000 items", len(sizes) / count * 1000, "")
        yield Row(name, "log bytes per item", sum(sizes) / count, "B")
        tracemalloc.start()
        state = PartitionState(ResourceName("jobs-0"))
        started_s = time.perf_counter()
        for offset, record in records:
            state.apply(offset, Envelope("w", offset, record), 0)
        yield Row(name, "fold", time.perf_counter() - started_s, "s")
        allocated_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        yield Row(name, "state per item", allocated_bytes / count, "B")
        yield from _measure_snapshot(name, state, count)


def _measure_snapshot(name: str, state: PartitionState, count: int) -> Iterator[Row]:
    started_s = time.perf_counter()
    parts = snapshot_records(state, 0)
    yield Row(name, "snapshot made", time.perf_counter() - started_s, "s")
    size = sum(len(part.state_z) for part in parts)
    yield Row(name, "snapshot bytes per item", size / count, "B")
    started_s = time.perf_counter()
    restore_state(state.resource, parts)
    yield Row(name, "snapshot restored", time.perf_counter() - started_s, "s")


def _make_item_line(number: int) -> bytes:
    return (
        b'{"custom_id":"i%d","method":"POST","url":"/v1/chat/completions",'
        b'"body":{"model":"m","max_tokens":64,"messages":'
        b'[{"role":"user","content":"registry summary %d"}]}}' % (number, number)
    )


def _make_job_records(submission, count: int) -> list[tuple[int, object]]:
    job = JobId("batch_0000000000000001")
    team = TeamId("team1")
    records: list[object] = [
        Claim(ResourceName("jobs-0"), -1, MemberId("d"), Incarnation("d"), [], 0),
        *split_into_chunks(job, team, submission),
        JobAccepted(job, team, "k", "m", submission.digest, count, 0),
    ]
    body = b"x" * 300
    for first in range(0, count, RESULTS_PER_RECORD):
        indexes = range(first, min(count, first + RESULTS_PER_RECORD))
        results = [ItemResult(job, i, "succeeded", body) for i in indexes]
        records.append(ItemResults(0, 0, results))
    return list(enumerate(records))


def measure_messages() -> Iterator[Row]:
    """Measure the sizes of messages between daemons."""
    load = {f"engine-{n}": 3 for n in range(8)}
    probe = Probe(MemberId("entry-100"), Incarnation("f" * 32), False, 9, 9, load)
    take = TakeToken(ResourceName("rate-100"), 123_456, TeamId("team-1000"))
    yield Row("message", "probe", len(encode_frame(1000, probe)), "B")
    yield Row("message", "take token", len(encode_frame(1000, take)), "B")


def measure_decisions() -> Iterator[Row]:
    """Yield every row."""
    yield from measure_teams()
    yield from measure_endpoints()
    yield from measure_daemons()
    yield from measure_items()
    yield from measure_messages()
