"""Batch jobs on the keyed log: each job and result is stored once despite faults."""

import asyncio
import random

from parameterized import parameterized

from apricotquay.clocks import SystemClock
from apricotquay.errors import PeerUnavailableError
from apricotquay.ids import JobId, TeamId
from apricotquay.serving.batch import partition as partition_module
from apricotquay.serving.batch.jobrecords import (
    MAX_PART_BYTES,
    JobItem,
    ProgressRecord,
    ResultRecord,
    Submission,
    encode_result,
    encode_submission,
    job_key,
)
from apricotquay.serving.batch.jobs import OUTCOME_UNKNOWN, OVER_CAP, REFUSED, Jobs
from apricotquay.serving.batch.jobtable import JobTable
from apricotquay.serving.batch.partition import (
    JobOutcomeUnknownError,
    JobRefusedError,
    Partition,
    PendingResult,
)
from apricotquay.serving.fleet.keyedlog import KeyedRecord
from apricotquay.serving.reporting import Reporter
from standins.keyedlog import MemoryLog

from .base import ApricotTest

TEAM = TeamId("small")


class NullWriter:
    """Discards log lines."""

    dropped = 0
    has_room = True

    def info(self, line: bytes) -> None:
        """Discard a line."""

    def flush(self) -> None:
        """Do nothing."""


def quiet_reporter() -> Reporter:
    """Return a reporter that writes nothing."""
    return Reporter("vm", SystemClock(), NullWriter())


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
    """The table built from the records of the log."""

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
    def test_any_record_order_gives_the_same_table(self, seed):
        """Pages of the newest records are sorted by key, not by offset."""
        records = self.records()
        random.Random(seed).shuffle(records)
        table = JobTable()
        for record in records:
            table.apply(record)
        job = table.find(TEAM, JobId("job"))
        self.assertEqual(["job-2", "job-0"], [r.item_id for r in job.results])
        self.assertEqual({1}, job.open_items)
        self.assertEqual(10, job.token_backlog)

    def test_large_job_is_split_and_joined(self):
        """No record exceeds the store's size limit."""
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
            ("wrong type", b"j/1", b"\x01"),
            ("no number", b"r/1/x", b"\x01"),
            ("not ASCII", b"\xff\xfe", b"x"),
            ("not compressed", b"r/1/1", b"\x84\x00\x61\x61\xf5\x41\x00"),
        ]
    )
    def test_unreadable_record_is_skipped(self, _name, key, value):
        """A malformed record must not stop a daemon."""
        table = JobTable()
        table.apply(KeyedRecord(key, value, 0))
        self.assertEqual({}, table.jobs)

    def test_same_job_id_of_two_teams_is_two_jobs(self):
        """A team must not read another team's job."""
        table = JobTable()
        for record in encode_submission(submission()):
            table.apply(record)
        self.assertIsNone(table.find(TeamId("other"), JobId("job")))


class PartitionTest(ApricotTest):
    """The replica and its conditional appends, on a log with injected faults."""

    def setUp(self):
        super().setUp()
        self.patch(partition_module, "RETRY_DELAY_S", 0.001)
        self.patch(partition_module, "RESULT_RETRY_DELAY_S", 0.001)
        self.clock = SystemClock()

    def run_scenario(self, scenario) -> None:
        """Run a scenario with a new log."""

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

    def test_submission_does_not_wait_behind_another_beyond_its_deadline(self):
        """An append that hangs would leave those after it without an answer."""

        async def scenario(log, open_partition):
            partition = open_partition()
            await partition.catch_up()
            is_released = asyncio.Event()
            append = log.append

            async def hang(*args):
                await is_released.wait()
                return await append(*args)

            self.patch(log, "append", hang)
            first = asyncio.ensure_future(
                partition.accept(submission("a"), "/batch/", self.deadline_s())
            )
            await asyncio.sleep(0)
            async with asyncio.timeout(5):
                deadline_s = self.clock.now_s() + 0.1
                with self.assertRaises(partition_module.JobRefusedError) as caught:
                    await partition.accept(submission("b"), "/batch/", deadline_s)
            self.assertFalse(caught.exception.over_cap)
            is_released.set()
            await first
            self.assertIsNone(partition.table.find(TEAM, JobId("b")))

        self.run_scenario(scenario)

    def deadline_s(self) -> float:
        """Return a deadline that is too far away to be reached."""
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
    def test_job_is_accepted_once_despite_append_faults(self, _name, faults):
        """A resubmission at another daemon does not store it again."""

        async def scenario(log, open_partition):
            fault_sequence = iter(faults)
            log.choose_fault = lambda: next(fault_sequence, "")
            first, second = open_partition(), open_partition()
            await first.accept(submission(), "/batch/", self.deadline_s())
            log.apply_delayed_appends()
            await second.accept(submission(), "/batch/", self.deadline_s())
            page = await log.read(partition_module.JOBS, 0, 0, 0)
            headers = [r for r in page.records if r.key.startswith(b"j/")]
            self.assertEqual(1, len(headers))

        self.run_scenario(scenario)

    @parameterized.expand([(seed,) for seed in range(8)])
    def test_concurrent_submissions_never_exceed_the_cap(self, seed):
        """Three daemons accept jobs of one team concurrently, with append faults."""

        async def scenario(log, open_partition):
            rng = random.Random(seed)
            choices = ["", "", "", "lose", "drop", "refuse", "late"]
            log.choose_fault = lambda: rng.choice(choices)
            daemons = [open_partition() for _ in range(3)]
            jobs = [submission(f"job{n}", items=3, cap=100) for n in range(8)]
            outcomes = await asyncio.gather(
                *(
                    rng.choice(daemons).accept(job, "/batch/", self.deadline_s())
                    for job in jobs
                ),
                return_exceptions=True,
            )
            log.choose_fault = lambda: ""
            log.apply_delayed_appends()
            observer = open_partition()
            await observer.catch_up()
            waiting = observer.table.token_backlog(TEAM, "host", "/batch/")
            self.assertLessEqual(waiting, 100)
            for job, outcome in zip(jobs, outcomes, strict=True):
                is_stored = observer.table.find(TEAM, job.id) is not None
                if outcome is None:
                    self.assertTrue(is_stored)
                elif isinstance(outcome, JobRefusedError):
                    self.assertFalse(is_stored)
                else:
                    self.assertIsInstance(outcome, JobOutcomeUnknownError)

        self.run_scenario(scenario)

    def test_outage_refuses_but_lost_reply_leaves_outcome_unknown(self):
        """A 503 is returned only for a job that certainly will not run."""

        async def scenario(log, open_partition):
            partition = open_partition()
            await partition.catch_up()
            log.is_down = True
            deadline_s = self.clock.now_s() + 0.05
            with self.assertRaises(JobRefusedError):
                await partition.accept(submission("a"), "/batch/", deadline_s)
            log.is_down = False
            log.choose_fault = lambda: "drop"
            deadline_s = self.clock.now_s() + 0.05
            with self.assertRaises(JobOutcomeUnknownError):
                await partition.accept(submission("b"), "/batch/", deadline_s)

        self.run_scenario(scenario)

    @parameterized.expand([(seed,) for seed in range(8)])
    def test_results_of_two_owners_are_stored_once(self, seed):
        """Both run all items, as after a change of the shard's owner, with faults."""

        async def scenario(log, open_partition):
            rng = random.Random(seed)
            first, second = open_partition(), open_partition()
            await first.accept(submission(items=12), "/batch/", self.deadline_s())
            await second.catch_up()
            log.choose_fault = lambda: rng.choice(
                ["", "", "lose", "drop", "late", "refuse"]
            )
            for owner in (first, second):
                job = owner.table.find(TEAM, JobId("job"))
                for item in rng.sample(range(12), 12):
                    owner.enqueue_result(
                        PendingResult(job, item, True, f"{item} by {owner is first}")
                    )
                    if rng.random() < 0.3:
                        await asyncio.sleep(0.002)
            log.choose_fault = lambda: ""
            log.apply_delayed_appends()
            observer = open_partition()
            while True:
                await observer.catch_up()
                job = observer.table.find(TEAM, JobId("job"))
                if not job.open_items:
                    break
                await asyncio.sleep(0.01)
            ids = [r.item_id for r in job.results]
            self.assertEqual(12, len(set(ids)))
            self.assertEqual(12, len(ids))
            for owner in (first, second):
                await owner.catch_up()
                known = owner.table.find(TEAM, JobId("job"))
                self.assertEqual(job.results, known.results)

        self.run_scenario(scenario)

    def test_state_is_recovered_from_a_compacted_log(self):
        """All daemons were killed, and the log dropped its old records."""

        async def scenario(log, open_partition):
            first = open_partition()
            await first.accept(submission(), "/batch/", self.deadline_s())
            job = first.table.find(TEAM, JobId("job"))
            first.enqueue_result(PendingResult(job, 1, True, "one"))
            await first.wait_for_results(job, 0, 5.0)
            await first.close()
            log.expire()
            second = open_partition()
            await second.catch_up()
            known = second.table.find(TEAM, JobId("job"))
            self.assertEqual(["one"], [r.text for r in known.results])
            self.assertEqual({0, 2}, known.open_items)

        self.run_scenario(scenario)

    def test_progress_of_an_item_survives_its_owner(self):
        """The next owner resumes after the last stored event."""

        async def scenario(log, open_partition):
            first = open_partition()
            await first.accept(submission(), "/batch/", self.deadline_s())
            job = first.table.find(TEAM, JobId("job"))
            first.enqueue_progress(job, 1, ProgressRecord(4, ["a", "", "b\nc"]))
            await first.flush()
            await first.close()
            log.expire()
            second = open_partition()
            await second.catch_up()
            known = second.table.find(TEAM, JobId("job"))
            self.assertEqual(
                ProgressRecord(4, ["a", "", "b\nc"]), known.progress.get(1)
            )
            second.enqueue_progress(known, 1, ProgressRecord(2, ["a"]))
            await second.flush()
            self.assertEqual(4, known.progress[1].last_id)
            second.enqueue_result(PendingResult(known, 1, True, "done"))
            await second.wait_for_results(known, 0, 5.0)
            page = await log.read_newest(partition_module.JOBS, 0)
            kept = [r.key for r in page.records if r.key.startswith(b"w/")]
            self.assertEqual([], kept)

        self.run_scenario(scenario)

    def test_results_exceeding_one_call_have_no_gaps(self):
        """Two owners write at the same time and agree on one order."""

        async def scenario(log, open_partition):
            rng = random.Random(1)
            first, second = open_partition(), open_partition()
            await first.accept(submission(items=24), "/batch/", self.deadline_s())
            await second.catch_up()
            self.patch(partition_module, "MAX_RESULT_BYTES", 4_000)
            for owner in (first, second):
                job = owner.table.find(TEAM, JobId("job"))
                for item in range(24):
                    text = "".join(rng.choices("abcdefghij", k=1_500))
                    owner.enqueue_result(PendingResult(job, item, True, text))
            observer = open_partition()
            await observer.catch_up()
            job = observer.table.find(TEAM, JobId("job"))
            while job.open_items or len(job.results) < 24:
                await observer.catch_up()
                await asyncio.sleep(0.01)
            self.assertEqual(list(range(24)), [r.position for r in job.results])
            self.assertEqual(24, len({r.item_id for r in job.results}))

        self.run_scenario(scenario)

    @parameterized.expand([(seed,) for seed in range(6)])
    def test_every_decision_is_a_conditional_append(self, seed):
        """This holds while the log drops records that its readers have not read."""

        async def scenario(log, open_partition):
            rng = random.Random(seed)
            unconditional = []
            append = log.append

            async def recording_append(topic, part, records, at):
                if at is None:
                    unconditional.extend(r.key[:1] for r in records)
                await asyncio.sleep(0)
                return await append(topic, part, records, at)

            log.append = recording_append
            owners = [open_partition(), open_partition()]
            await owners[0].accept(submission(items=20), "/batch/", self.deadline_s())
            await owners[1].catch_up()
            for item in range(20):
                for owner in owners:
                    job = owner.table.find(TEAM, JobId("job"))
                    owner.enqueue_result(PendingResult(job, item, True, f"t{item}"))
                log.expire()
                for owner in owners:
                    owner._end = rng.choice([owner._end, 0])
                await asyncio.sleep(rng.uniform(0.0, 0.003))
            observer = open_partition()
            await observer.catch_up()
            while observer.table.find(TEAM, JobId("job")).open_items:
                await observer.catch_up()
                await asyncio.sleep(0.005)
            self.assertEqual([], unconditional)
            results = observer.table.find(TEAM, JobId("job")).results
            self.assertEqual(20, len({r.item_id for r in results}))

        self.run_scenario(scenario)

    def test_cap_of_large_job_is_checked_after_its_parts(self):
        """Jobs that others accept during the upload of the parts count."""

        async def scenario(log, open_partition):
            self.patch(partition_module, "MAX_APPEND_BYTES", 300_000)
            first, second = open_partition(), open_partition()
            large = [
                submission(f"large{n}", items=20, cap=250, size=40_000)
                for n in range(2)
            ]
            outcomes = await asyncio.gather(
                first.accept(large[0], "/batch/", self.deadline_s()),
                second.accept(large[1], "/batch/", self.deadline_s()),
                return_exceptions=True,
            )
            observer = open_partition()
            await observer.catch_up()
            self.assertEqual(200, observer.table.token_backlog(TEAM, "host", "/batch/"))
            self.assertEqual(1, sum(1 for outcome in outcomes if outcome is None))

        self.run_scenario(scenario)

    def test_expired_jobs_are_deleted_from_the_log(self):
        """Only ended jobs expire; an open one stays regardless of its age."""

        async def scenario(log, open_partition):
            owner = open_partition()
            for name in ("ended", "open"):
                await owner.accept(submission(name), "/batch/", self.deadline_s())
            ended = owner.table.find(TEAM, JobId("ended"))
            for item in range(3):
                owner.enqueue_progress(ended, item, ProgressRecord(1, ["a"]))
            await owner.flush()
            await owner.cancel(ended, self.deadline_s())
            await owner.delete_expired_jobs(50)
            # It has just ended, though it was submitted long ago.
            await owner.catch_up()
            self.assertIsNotNone(owner.table.find(TEAM, JobId("ended")))
            await asyncio.sleep(0.1)
            await owner.delete_expired_jobs(50)
            page = await log.read_newest(partition_module.JOBS, 0)
            key = job_key(TEAM, JobId("ended")).encode()
            self.assertEqual([], [r.key for r in page.records if key in r.key])
            await owner.catch_up()
            self.assertIsNone(owner.table.find(TEAM, JobId("ended")))
            self.assertIsNotNone(owner.table.find(TEAM, JobId("open")))

        self.run_scenario(scenario)

    def test_failure_count_of_an_item_survives_its_owner(self):
        """An item must not be retried forever, nor a failure discard its output."""

        async def scenario(log, open_partition):
            first = open_partition()
            await first.accept(submission(), "/batch/", self.deadline_s())
            job = first.table.find(TEAM, JobId("job"))
            first.enqueue_progress(job, 1, ProgressRecord(4, ["a"], 1))
            await first.flush()
            first.enqueue_progress(job, 1, ProgressRecord(-1, [], 2))
            first.enqueue_progress(job, 2, ProgressRecord(-1, [], 1))
            await first.flush()
            second = open_partition()
            await second.catch_up()
            known = second.table.find(TEAM, JobId("job")).progress
            self.assertEqual(2, job.progress[1].failures)
            self.assertEqual(4, job.progress[1].last_id)
            self.assertEqual(ProgressRecord(-1, [], 1), known[2])
            self.assertEqual(2, known[1].failures)

        self.run_scenario(scenario)

    def test_cancel_is_seen_by_the_owner(self):
        """Another daemon appended the cancellation."""

        async def scenario(log, open_partition):
            owner, other = open_partition(), open_partition()
            await owner.accept(submission(), "/batch/", self.deadline_s())
            await other.catch_up()
            job = other.table.find(TEAM, JobId("job"))
            await other.cancel(job, self.deadline_s())
            await owner.catch_up()
            known = owner.table.find(TEAM, JobId("job"))
            self.assertFalse(known.is_open)
            self.assertEqual(0, known.token_backlog)

        self.run_scenario(scenario)


class UnavailablePeers:
    """An owner that receives a call without answering, or cannot be reached."""

    def __init__(self, sent: bool) -> None:
        self._sent = sent

    async def call(self, address, message, timeout_s):
        """Raise PeerUnavailableError."""
        raise PeerUnavailableError("silent", sent=self._sent)


class RemotelyOwnedShards:
    """Shards that are all owned by another daemon."""

    count = 12
    address = "me:1"
    owned: frozenset[int] = frozenset()

    def owner(self, number: int) -> str:
        """Return the other daemon's address."""
        return "other:1"


class ForwardedJobTest(ApricotTest):
    """A job submitted to an owner that does not answer."""

    @parameterized.expand(
        [
            ("received, store down", True, True, OUTCOME_UNKNOWN),
            ("not received, store down", False, True, REFUSED),
            ("received, over the cap", True, False, OUTCOME_UNKNOWN),
            ("not received, over the cap", False, False, OVER_CAP),
        ]
    )
    def test_job_is_refused_only_if_owner_cannot_accept_it_later(
        self, _name, sent, is_down, outcome
    ):
        """Neither 503 nor 429 is returned while the owner may still append it."""

        async def run() -> str:
            log = MemoryLog()
            log.is_down = is_down
            jobs = Jobs(
                log,
                RemotelyOwnedShards(),
                UnavailablePeers(sent),
                SystemClock(),
                quiet_reporter(),
            )
            try:
                return await jobs.submit(submission(cap=10), "/batch/", 0.2)
            finally:
                await jobs.close()

        self.assertEqual(outcome, asyncio.run(run()))
