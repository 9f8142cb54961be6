"""The state of a partition: an accepted item completes once, whichever daemons
write to the stream.
"""

import random

from hypothesis import given, strategies as st
from parameterized import parameterized

from apricotquay.ids import Incarnation, JobId, MemberId, ResourceName, TeamId
from apricotquay.jobs import PartitionState
from apricotquay.records import (
    Attempt,
    AttemptsEnded,
    AttemptsStarted,
    Claim,
    Envelope,
    ItemChunk,
    ItemResult,
    ItemResults,
    JobAccepted,
    JobCancelled,
    RewrittenResults,
    decode_envelope,
    encode_envelope,
)
from apricotquay.snapshots import (
    DecodedEntry,
    restore_latest_snapshot,
    restore_state,
    snapshot_records,
)

from .base import PROPERTY_SETTINGS, ApricotTest

RESOURCE = ResourceName("jobs-0")
JOB = JobId("batch_0000000000000001")
TEAM = TeamId("small")


def claim(holder: str = "a", follows: int = -1) -> Claim:
    """Return a claim of the partition that follows another."""
    return Claim(RESOURCE, follows, MemberId(holder), Incarnation(holder), [], 0)


def chunk(first: int, count: int, digest: str = "d1") -> ItemChunk:
    """Return a chunk of the job."""
    items = [f"{digest} item {i}".encode() for i in range(first, first + count)]
    return ItemChunk(JOB, TEAM, digest, first, items)


def accepted(count: int, digest: str = "d1", team: str = TEAM) -> JobAccepted:
    """Return the acceptance of the job."""
    return JobAccepted(JOB, TeamId(team), "k", "quay-llm", digest, count, 0)


def results(number: int, *outcomes: tuple[int, str]) -> ItemResults:
    """Return results under a claim; outcomes are pairs of item index and outcome."""
    return ItemResults(
        number, 9, [ItemResult(JOB, i, outcome, b"x") for i, outcome in outcomes]
    )


def state_after(records: list) -> PartitionState:
    """Return the state after applying records at offsets 0, 1, 2, …"""
    state = PartitionState(RESOURCE)
    for offset, record in enumerate(records):
        state.apply(offset, Envelope("w", offset, record), at_ms=offset)
    return state


class PartitionStateTest(ApricotTest):
    """How single records change the state."""

    def states(self, *records) -> list[str]:
        """Return the states of the job's items after some records."""
        job = state_after([claim(), chunk(0, 2), accepted(2), *records]).jobs[JOB]
        return [job.state_of(i) for i in range(job.item_count)]

    @parameterized.expand(
        [
            ("result", [results(0, (0, "succeeded"))], ["done", "pending"]),
            (
                "second result is ignored",
                [results(0, (0, "failed")), results(0, (0, "succeeded"))],
                ["failed", "pending"],
            ),
            (
                "result under an older claim is ignored",
                [claim("b", 0), results(0, (0, "succeeded"))],
                ["pending", "pending"],
            ),
            (
                "result of the new holder counts",
                [claim("b", 0), results(3, (0, "succeeded"))],
                ["done", "pending"],
            ),
            (
                "cancel ends the open items",
                [results(0, (0, "succeeded")), JobCancelled(JOB, TEAM, 5)],
                ["done", "cancelled"],
            ),
            (
                "result after cancel is ignored",
                [JobCancelled(JOB, TEAM, 5), results(0, (0, "succeeded"))],
                ["cancelled", "cancelled"],
            ),
            (
                "another team cannot cancel",
                [JobCancelled(JOB, TeamId("large"), 5)],
                ["pending", "pending"],
            ),
            (
                "attempt that did not reach the service may run again",
                [
                    AttemptsStarted(0, [Attempt(JOB, 0, "x")]),
                    AttemptsEnded(0, [Attempt(JOB, 0, "x")]),
                ],
                ["pending", "pending"],
            ),
            (
                "attempt under an older claim is ignored",
                [claim("b", 0), AttemptsStarted(0, [Attempt(JOB, 0, "x")])],
                ["pending", "pending"],
            ),
            (
                "attempt with a lost outcome ends as unknown",
                [
                    AttemptsStarted(0, [Attempt(JOB, 0, "x")]),
                    claim("b", 0),
                    results(4, (0, "outcome_lost")),
                ],
                ["unknown", "pending"],
            ),
            (
                "an item that was never started cannot be unknown",
                [results(0, (0, "outcome_lost"))],
                ["pending", "pending"],
            ),
            (
                "index outside the job is ignored",
                [results(0, (7, "succeeded"), (-1, "succeeded"))],
                ["pending", "pending"],
            ),
        ]
    )
    def test_states(self, _name, records, expected):
        """States of the two items of a job after some records."""
        self.assertEqual(expected, self.states(*records))

    @parameterized.expand(
        [
            ("all chunks", [chunk(0, 2), chunk(2, 1), accepted(3)], True),
            ("a repeated chunk", [chunk(0, 2), chunk(0, 2), accepted(2)], True),
            ("a missing chunk", [chunk(2, 1), accepted(3)], False),
            ("no chunk", [accepted(1)], False),
            ("chunks of other items", [chunk(0, 2, "d2"), accepted(2)], False),
            ("chunks of another team", [chunk(0, 2), accepted(2, "d1", "x")], False),
        ]
    )
    def test_acceptance(self, _name, records, expected):
        """A job is accepted with all its items or not at all."""
        self.assertEqual(expected, JOB in state_after(records).jobs)

    def test_first_acceptance_of_a_job_key_wins(self):
        """A second acceptance with other items does not replace the first."""
        records = [chunk(0, 1), chunk(0, 2, "d2"), accepted(1), accepted(2, "d2")]
        self.assertEqual("d1", state_after(records).jobs[JOB].digest)

    def test_rewritten_result_changes_only_its_offset(self):
        """Readers use the rewritten record, which the log keeps longer."""
        rewritten = RewrittenResults(0, [ItemResult(JOB, 0, "succeeded", b"x")])
        records = [claim(), chunk(0, 1), accepted(1), results(0, (0, "succeeded"))]
        job = state_after([*records, rewritten]).jobs[JOB]
        self.assertEqual(4, job.result_offsets[0])
        self.assertEqual("done", job.state_of(0))

    def test_record_encoding_round_trip(self):
        """Decoding an encoded record gives an equal record."""
        for record in (claim(), chunk(0, 2), accepted(2), results(0, (0, "failed"))):
            envelope = Envelope("w", 1, record)
            self.assertEqual(envelope, decode_envelope(encode_envelope(envelope)))

    @parameterized.expand([("empty", b""), ("noise", b"\xff\x00"), ("map", b"\xa0")])
    def test_unknown_entry_is_skipped(self, _name, data):
        """A newer release may have written a record that this one cannot decode."""
        self.assertIsNone(decode_envelope(data))


def random_records(rng: random.Random, count: int) -> list:
    """Return a random history of records by several holders and clients."""
    size = rng.randint(1, 6)
    records = [chunk(0, size), claim("a"), accepted(size)]
    claims = [1]
    newest = 1
    while len(records) < count:
        number = rng.choice(claims[-2:])
        index = rng.randrange(size)
        attempt = Attempt(JOB, index, rng.choice("xy"))
        kind = rng.randrange(12)
        if kind == 0:
            claims.append(len(records))
            follows = newest if rng.random() < 0.7 else rng.choice(claims)
            newest = len(records) if follows == newest else newest
            records.append(claim(rng.choice("ab"), follows))
        elif kind == 1 and rng.random() < 0.2:
            records.append(JobCancelled(JOB, TEAM, 1))
        elif kind in (2, 3):
            records.append(AttemptsStarted(number, [attempt]))
        elif kind == 4:
            records.append(AttemptsEnded(number, [attempt]))
        elif kind == 5:
            records.append(accepted(size))
        else:
            outcome = rng.choice(["succeeded", "failed", "outcome_lost"])
            records.append(results(number, (index, outcome)))
    return records


class ExactlyOnceTest(ApricotTest):
    """Random histories, checked against a separately kept set of finished items."""

    @PROPERTY_SETTINGS
    @given(st.integers(0, 2**32))
    def test_first_valid_outcome_is_final(self, seed):
        """No later record changes or repeats an outcome."""
        records = random_records(random.Random(seed), 60)
        partition = PartitionState(RESOURCE)
        newest_claim = -1
        finished: dict[int, str] = {}
        for offset, record in enumerate(records):
            if isinstance(record, Claim) and record.follows == newest_claim:
                newest_claim = offset
            partition.apply(offset, Envelope("w", offset, record), at_ms=0)
            job = partition.jobs.get(JOB)
            if job is None:
                continue
            states = {i: job.state_of(i) for i in range(job.item_count)}
            for index, outcome in finished.items():
                self.assertEqual(outcome, states[index])
            for index, state in states.items():
                if state in ("pending", "started") or index in finished:
                    continue
                finished[index] = state
                if isinstance(record, ItemResults):
                    self.assertEqual(newest_claim, record.claim)

    @PROPERTY_SETTINGS
    @given(st.integers(0, 2**32))
    def test_snapshot_and_later_records_equal_the_full_replay(self, seed):
        """A reader that starts at a snapshot gets the same state as one that starts at
        offset 0.
        """
        rng = random.Random(seed)
        records = random_records(rng, 60)
        cut = rng.randrange(len(records))
        before_cut = state_after(records[:cut])
        restored = restore_state(
            RESOURCE, snapshot_records(before_cut, before_cut.fencing)
        )
        for offset, record in enumerate(records):
            restored.apply(offset, Envelope("w", offset, record), at_ms=offset)
        replayed = state_after(records)
        self.assertEqual(comparable(replayed), comparable(restored))


def comparable(state: PartitionState) -> list:
    """Return the parts of a state that are compared."""
    return [
        (j.id, bytes(j.states), j.result_offsets.tolist(), j.attempts, state.fencing)
        for j in state.jobs.values()
    ]


class LatestSnapshotTest(ApricotTest):
    """Which snapshot a reader starts from."""

    def entries(self, records: list, first: int = 0) -> list[DecodedEntry]:
        """Return records as entries from an offset on."""
        return [
            DecodedEntry(offset, 0, Envelope("w", offset, record))
            for offset, record in enumerate(records)
            if offset >= first
        ]

    def test_snapshot_of_a_former_holder_is_skipped(self):
        """It may lack records that the newer holder wrote before it."""
        records = [claim("a"), chunk(0, 1), accepted(1)]
        stale = snapshot_records(state_after(records), 0)
        entries = self.entries([*records, claim("b", 0), *stale])
        self.assertIsNone(restore_latest_snapshot(RESOURCE, entries))

    def test_snapshot_that_leaves_a_gap_is_skipped(self):
        """Retention has dropped entries between its end and the first entry."""
        records = [claim("a"), chunk(0, 1), accepted(1)]
        early = snapshot_records(state_after(records[:1]), 0)
        entries = self.entries([*records, *early], first=3)
        self.assertIsNone(restore_latest_snapshot(RESOURCE, entries))

    def test_reader_starts_at_the_snapshot_after_retention_dropped_records(self):
        """No state is lost when the log has dropped the first records."""
        records = [claim("a"), chunk(0, 1), accepted(1)]
        snapshot = snapshot_records(state_after(records), 0)
        state = restore_latest_snapshot(
            RESOURCE, self.entries([*records, *snapshot], first=3)
        )
        self.assertEqual(["pending"], [state.jobs[JOB].state_of(0)])
        self.assertEqual(0, state.fencing)
