"""Batch jobs on the keyed log: accepted once, listed once, under every fault."""

import asyncio
import random

from parameterized import parameterized

from apricotquay.clocks import SystemClock
from apricotquay.errors import PeerUnavailableError
from apricotquay.ids import JobId, TeamId
from apricotquay.serving import partition as partition_module
from apricotquay.serving.jobrecords import (
    MAX_PART_BYTES,
    JobItem,
    ProgressRecord,
    ResultRecord,
    Submission,
    encode_result,
    encode_submission,
    job_key,
)
from apricotquay.serving.jobs import OUTCOME_UNKNOWN, OVER_CAP, REFUSED, Jobs
from apricotquay.serving.jobtable import JobTable
from apricotquay.serving.keyedlog import KeyedRecord
from apricotquay.serving.partition import (
    JobOutcomeUnknownError,
    JobRefusedError,
    Partition,
    PendingResult,
)
from apricotquay.serving.reporting import Reporter
from standins.keyedlog import MemoryLog

from .base import ApricotTest

TEAM = TeamId("small")


class QuietWriter:
    """Takes log lines and forgets them."""

    dropped = 0
    has_room = True

    def info(self, line: bytes) -> None:
        """Forget a line."""

    def flush(self) -> None:
        """Do nothing."""


def quiet_reporter() -> Reporter:
    """Return a reporter that writes nothing."""
    return Reporter("vm", SystemClock(), QuietWriter())


def submission(name: str = "job", items: int = 3, cap: int = 0, size: int = 5):
    """Return a job."""
    return Submission(
        JobId(name),
        TEAM,
        "host",
        "/batch/1",
        [
            JobItem(f"{name}-{n}", "/batch/x", [("M", "m")], b"b" * size, 10)
            for n in range(items)
        ],
        0,
        10_000,
        60_000,
        cap,
    )


def result(position: int, item: str) -> ResultRecord:
    """Return a result."""
    return ResultRecord(position, item, True, f"text of {item}")


class JobTableTest(ApricotTest):
    """The fold."""

    def records(self) -> list[KeyedRecord]:
        """Return the records of a job with two results."""
        job = submission()
        key = job_key(TEAM, job.id)
        records = [
            *encode_submission(job),
            encode_result(key, 2, result(0, "job-2")),
            encode_result(key, 0, result(1, "job-0")),
        ]
        return [KeyedRecord(r.key, r.value, n) for n, r in enumerate(records)]

    @parameterized.expand([(seed,) for seed in range(10)])
    def test_any_order_gives_the_same_table(self, seed):
        """Pages of newest records come by key, not by offset."""
        records = self.records()
        random.Random(seed).shuffle(records)
        table = JobTable()
        for record in records:
            table.apply(record)
        job = table.find(TEAM, JobId("job"))
        self.assertEqual(["job-2", "job-0"], [r.item_id for r in job.listed])
        self.assertEqual({1}, job.open_items)
        self.assertEqual(10, job.waiting_tokens)

    def test_large_job_is_split_and_joined(self):
        """Its records stay below the store's limit."""
        job = submission(items=20, size=60_000)
        records = encode_submission(job)
        self.assertGreater(len(records), 2)
        self.assertLessEqual(max(len(r.value) for r in records), MAX_PART_BYTES)
        table = JobTable()
        for record in records:
            table.apply(record)
        self.assertEqual(job.items, table.find(TEAM, job.id).items)

    @parameterized.expand(
        [
            ("no key", b"", b"x"),
            ("unknown kind", b"z/1", b"x"),
            ("not CBOR", b"j/1", b"\xff\xff"),
            ("another shape", b"j/1", b"\x01"),
            ("no number", b"r/1/x", b"\x01"),
            ("not ASCII", b"\xff\xfe", b"x"),
            ("not compressed", b"r/1/1", b"\x84\x00\x61\x61\xf5\x41\x00"),
        ]
    )
    def test_unreadable_record_is_skipped(self, _name, key, value):
        """It never stops a daemon."""
        table = JobTable()
        table.apply(KeyedRecord(key, value, 0))
        self.assertEqual({}, table.jobs)

    def test_jobs_of_two_teams_with_one_id_are_two(self):
        """A team never reads another's job."""
        table = JobTable()
        for record in encode_submission(submission()):
            table.apply(record)
        self.assertIsNone(table.find(TeamId("other"), JobId("job")))


class PartitionTest(ApricotTest):
    """The replica and its conditional writes, against a log with faults."""

    def setUp(self):
        super().setUp()
        self.patch(partition_module, "RETRY_PAUSE_S", 0.001)
        self.patch(partition_module, "RESULT_RETRY_S", 0.001)
        self.clock = SystemClock()

    def play(self, scenario) -> None:
        """Run a scenario with a log of its own."""

        async def run() -> None:
            log = MemoryLog()
            opened = []

            def open_partition() -> Partition:
                partition = Partition(0, log, self.clock, quiet_reporter())
                partition.start()
                opened.append(partition)
                return partition

            try:
                async with asyncio.timeout(20):
                    await scenario(log, open_partition)
            finally:
                for partition in opened:
                    await partition.close()

        asyncio.run(run())

    def limit_s(self) -> float:
        """Return a limit that is far away."""
        return self.clock.now_s() + 10.0

    @parameterized.expand(
        [
            ("no fault", [""]),
            ("refused", ["refuse", "refuse", ""]),
            ("answer lost", ["lose", ""]),
            ("dropped", ["drop", "drop", ""]),
            ("late", ["late", ""]),
        ]
    )
    def test_job_is_accepted_once_over_faults(self, _name, faults):
        """And again by a resend at another daemon."""

        async def scenario(log, open_partition):
            plan = iter(faults)
            log.fault = lambda: next(plan, "")
            first, second = open_partition(), open_partition()
            await first.accept(submission(), "/batch/", self.limit_s())
            log.land_late()
            await second.accept(submission(), "/batch/", self.limit_s())
            page = await log.read(partition_module.JOBS, 0, 0, 0)
            headers = [r for r in page.records if r.key.startswith(b"j/")]
            self.assertEqual(1, len(headers))

        self.play(scenario)

    @parameterized.expand([(seed,) for seed in range(8)])
    def test_racing_daemons_keep_the_cap(self, seed):
        """Many jobs at three daemons at once, with faults: never over the cap."""

        async def scenario(log, open_partition):
            rng = random.Random(seed)
            choices = ["", "", "", "lose", "drop", "refuse", "late"]
            log.fault = lambda: rng.choice(choices)
            daemons = [open_partition() for _ in range(3)]
            jobs = [submission(f"job{n}", items=3, cap=100) for n in range(8)]
            outcomes = await asyncio.gather(
                *(
                    rng.choice(daemons).accept(job, "/batch/", self.limit_s())
                    for job in jobs
                ),
                return_exceptions=True,
            )
            log.fault = lambda: ""
            log.land_late()
            judge = open_partition()
            await judge.confirm()
            waiting = judge.table.waiting_tokens(TEAM, "host", "/batch/")
            self.assertLessEqual(waiting, 100)
            for job, outcome in zip(jobs, outcomes, strict=True):
                is_there = judge.table.find(TEAM, job.id) is not None
                if outcome is None:
                    self.assertTrue(is_there)
                elif isinstance(outcome, JobRefusedError):
                    self.assertFalse(is_there)
                else:
                    self.assertIsInstance(outcome, JobOutcomeUnknownError)

        self.play(scenario)

    def test_outage_refuses_and_a_lost_answer_does_not(self):
        """503 is only said of a job that surely will not run."""

        async def scenario(log, open_partition):
            partition = open_partition()
            await partition.confirm()
            log.is_down = True
            limit_s = self.clock.now_s() + 0.05
            with self.assertRaises(JobRefusedError):
                await partition.accept(submission("a"), "/batch/", limit_s)
            log.is_down = False
            log.fault = lambda: "drop"
            limit_s = self.clock.now_s() + 0.05
            with self.assertRaises(JobOutcomeUnknownError):
                await partition.accept(submission("b"), "/batch/", limit_s)

        self.play(scenario)

    @parameterized.expand([(seed,) for seed in range(8)])
    def test_results_are_listed_once_by_two_owners(self, seed):
        """Both run all items, as after a move of the shard, over faults."""

        async def scenario(log, open_partition):
            rng = random.Random(seed)
            first, second = open_partition(), open_partition()
            await first.accept(submission(items=12), "/batch/", self.limit_s())
            await second.confirm()
            log.fault = lambda: rng.choice(["", "", "lose", "drop", "late", "refuse"])
            for owner in (first, second):
                job = owner.table.find(TEAM, JobId("job"))
                for item in rng.sample(range(12), 12):
                    owner.put_result(
                        PendingResult(job, item, True, f"{item} by {owner is first}")
                    )
                    if rng.random() < 0.3:
                        await asyncio.sleep(0.002)
            log.fault = lambda: ""
            log.land_late()
            judge = open_partition()
            while True:
                await judge.confirm()
                job = judge.table.find(TEAM, JobId("job"))
                if not job.open_items:
                    break
                await asyncio.sleep(0.01)
            ids = [r.item_id for r in job.listed]
            self.assertEqual(12, len(set(ids)))
            self.assertEqual(12, len(ids))
            for owner in (first, second):
                await owner.confirm()
                known = owner.table.find(TEAM, JobId("job"))
                self.assertEqual(job.listed, known.listed)

        self.play(scenario)

    def test_everything_is_back_after_all_have_been_killed(self):
        """And after the log has forgotten its history."""

        async def scenario(log, open_partition):
            first = open_partition()
            await first.accept(submission(), "/batch/", self.limit_s())
            job = first.table.find(TEAM, JobId("job"))
            first.put_result(PendingResult(job, 1, True, "one"))
            await first.wait_for_results(job, 0, 5.0)
            await first.close()
            log.expire()
            second = open_partition()
            await second.confirm()
            known = second.table.find(TEAM, JobId("job"))
            self.assertEqual(["one"], [r.text for r in known.listed])
            self.assertEqual({0, 2}, known.open_items)

        self.play(scenario)

    def test_progress_of_an_item_outlives_its_owner(self):
        """The next one goes on from the last event that was kept."""

        async def scenario(log, open_partition):
            first = open_partition()
            await first.accept(submission(), "/batch/", self.limit_s())
            job = first.table.find(TEAM, JobId("job"))
            first.put_progress(job, 1, ProgressRecord(4, ["a", "", "b\nc"]))
            await first.flush()
            await first.close()
            log.expire()
            second = open_partition()
            await second.confirm()
            known = second.table.find(TEAM, JobId("job"))
            self.assertEqual(
                ProgressRecord(4, ["a", "", "b\nc"]), known.progress.get(1)
            )
            second.put_progress(known, 1, ProgressRecord(2, ["a"]))
            await second.flush()
            self.assertEqual(4, known.progress[1].last_id)
            second.put_result(PendingResult(known, 1, True, "done"))
            await second.wait_for_results(known, 0, 5.0)
            page = await log.read_newest(partition_module.JOBS, 0)
            kept = [r.key for r in page.records if r.key.startswith(b"w/")]
            self.assertEqual([], kept)

        self.play(scenario)

    def test_results_beyond_one_call_are_listed_without_gaps(self):
        """In one order, by two owners that write at the same time."""

        async def scenario(log, open_partition):
            rng = random.Random(1)
            first, second = open_partition(), open_partition()
            await first.accept(submission(items=24), "/batch/", self.limit_s())
            await second.confirm()
            self.patch(partition_module, "MAX_RESULT_BYTES", 4_000)
            for owner in (first, second):
                job = owner.table.find(TEAM, JobId("job"))
                for item in range(24):
                    text = "".join(rng.choices("abcdefghij", k=1_500))
                    owner.put_result(PendingResult(job, item, True, text))
            judge = open_partition()
            await judge.confirm()
            job = judge.table.find(TEAM, JobId("job"))
            while job.open_items or len(job.listed) < 24:
                await judge.confirm()
                await asyncio.sleep(0.01)
            self.assertEqual(list(range(24)), [r.position for r in job.listed])
            self.assertEqual(24, len({r.item_id for r in job.listed}))

        self.play(scenario)

    @parameterized.expand([(seed,) for seed in range(6)])
    def test_every_decision_is_appended_on_condition(self, seed):
        """Also while the log forgets its history before the eyes of its readers."""

        async def scenario(log, open_partition):
            rng = random.Random(seed)
            unconditional = []
            append = log.append

            async def watched(topic, part, records, at):
                if at is None:
                    unconditional.extend(r.key[:1] for r in records)
                await asyncio.sleep(0)
                return await append(topic, part, records, at)

            log.append = watched
            owners = [open_partition(), open_partition()]
            await owners[0].accept(submission(items=20), "/batch/", self.limit_s())
            await owners[1].confirm()
            for item in range(20):
                for owner in owners:
                    job = owner.table.find(TEAM, JobId("job"))
                    owner.put_result(PendingResult(job, item, True, f"t{item}"))
                log.expire()
                for owner in owners:
                    owner._end = rng.choice([owner._end, 0])
                await asyncio.sleep(rng.uniform(0.0, 0.003))
            judge = open_partition()
            await judge.confirm()
            while judge.table.find(TEAM, JobId("job")).open_items:
                await judge.confirm()
                await asyncio.sleep(0.005)
            self.assertEqual([], unconditional)
            listed = judge.table.find(TEAM, JobId("job")).listed
            self.assertEqual(20, len({r.item_id for r in listed}))

        self.play(scenario)

    def test_large_job_is_decided_on_after_its_parts(self):
        """What others accepted while they went is counted."""

        async def scenario(log, open_partition):
            self.patch(partition_module, "MAX_APPEND_BYTES", 300_000)
            first, second = open_partition(), open_partition()
            large = [
                submission(f"large{n}", items=20, cap=250, size=40_000)
                for n in range(2)
            ]
            outcomes = await asyncio.gather(
                first.accept(large[0], "/batch/", self.limit_s()),
                second.accept(large[1], "/batch/", self.limit_s()),
                return_exceptions=True,
            )
            judge = open_partition()
            await judge.confirm()
            self.assertEqual(200, judge.table.waiting_tokens(TEAM, "host", "/batch/"))
            self.assertEqual(1, sum(1 for outcome in outcomes if outcome is None))

        self.play(scenario)

    def test_old_jobs_leave_nothing_in_the_log(self):
        """Those that are over; an open one stays whatever its age."""

        async def scenario(log, open_partition):
            owner = open_partition()
            for name in ("over", "open"):
                await owner.accept(submission(name), "/batch/", self.limit_s())
            over = owner.table.find(TEAM, JobId("over"))
            for item in range(3):
                owner.put_progress(over, item, ProgressRecord(1, ["a"]))
            await owner.flush()
            await owner.cancel(over, self.limit_s())
            await owner.forget_old(1_000)
            page = await log.read_newest(partition_module.JOBS, 0)
            key = job_key(TEAM, JobId("over")).encode()
            self.assertEqual([], [r.key for r in page.records if key in r.key])
            await owner.confirm()
            self.assertIsNone(owner.table.find(TEAM, JobId("over")))
            self.assertIsNotNone(owner.table.find(TEAM, JobId("open")))

        self.play(scenario)

    def test_failures_of_an_item_outlive_its_owner(self):
        """So that it is not tried for ever; they never hide what was produced."""

        async def scenario(log, open_partition):
            first = open_partition()
            await first.accept(submission(), "/batch/", self.limit_s())
            job = first.table.find(TEAM, JobId("job"))
            first.put_progress(job, 1, ProgressRecord(4, ["a"], 1))
            await first.flush()
            first.put_progress(job, 1, ProgressRecord(-1, [], 2))
            first.put_progress(job, 2, ProgressRecord(-1, [], 1))
            await first.flush()
            second = open_partition()
            await second.confirm()
            known = second.table.find(TEAM, JobId("job")).progress
            self.assertEqual(2, job.progress[1].failures)
            self.assertEqual(4, job.progress[1].last_id)
            self.assertEqual(ProgressRecord(-1, [], 1), known[2])
            self.assertEqual(2, known[1].failures)

        self.play(scenario)

    def test_cancel_is_seen_by_the_owner(self):
        """Even if another daemon wrote it."""

        async def scenario(log, open_partition):
            owner, other = open_partition(), open_partition()
            await owner.accept(submission(), "/batch/", self.limit_s())
            await other.confirm()
            job = other.table.find(TEAM, JobId("job"))
            await other.cancel(job, self.limit_s())
            await owner.confirm()
            known = owner.table.find(TEAM, JobId("job"))
            self.assertFalse(known.is_open)
            self.assertEqual(0, known.waiting_tokens)

        self.play(scenario)


class SilentOwner:
    """Peers whose owner takes a call and does not answer, or is not reached."""

    def __init__(self, sent: bool) -> None:
        self._sent = sent

    async def call(self, address, message, timeout_s):
        """Fail."""
        raise PeerUnavailableError("silent", sent=self._sent)


class OtherOwner:
    """Shards that another daemon owns."""

    count = 12
    address = "me:1"
    owned: frozenset[int] = frozenset()

    def owner(self, number: int) -> str:
        """Return the other."""
        return "other:1"


class ForwardedJobTest(ApricotTest):
    """A job handed to an owner that does not answer."""

    @parameterized.expand(
        [
            ("took the call, store away", True, True, OUTCOME_UNKNOWN),
            ("not reached, store away", False, True, REFUSED),
            ("took the call, over the cap", True, False, OUTCOME_UNKNOWN),
            ("not reached, over the cap", False, False, OVER_CAP),
        ]
    )
    def test_refusal_is_only_said_when_nobody_can_accept_it_later(
        self, _name, sent, is_down, outcome
    ):
        """Neither 503 nor 429 while the owner may still append it."""

        async def run() -> str:
            log = MemoryLog()
            log.is_down = is_down
            jobs = Jobs(
                log, OtherOwner(), SilentOwner(sent), SystemClock(), quiet_reporter()
            )
            try:
                return await jobs.submit(submission(cap=10), "/batch/", 0.2)
            finally:
                await jobs.close()

        self.assertEqual(outcome, asyncio.run(run()))
