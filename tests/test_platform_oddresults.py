"""Odd outputs of batch items, which must neither be lost nor hold up others."""

import asyncio
import json
import random
import zlib

import cbor2
import msgspec
from parameterized import parameterized

from apricotquay.errors import PeerUnavailableError
from apricotquay.ids import JobId
from apricotquay.platform.callers import _encode_page
from apricotquay.serving.batch.itemprogress import ItemProgress
from apricotquay.serving.batch.jobrecords import (
    ProgressRecord,
    ResultRecord,
    decode_progress,
    decode_result,
    encode_progress,
    encode_result,
    encode_result_records,
    encode_submission,
    job_key,
    job_tombstones,
)
from apricotquay.serving.batch.jobs import _page_results
from apricotquay.serving.batch.jobtable import Job, JobTable
from apricotquay.serving.engine import AttemptFailedError
from apricotquay.serving.fleet.peers import Peers
from apricotquay.serving.http.sse import StreamEvent, parse_event
from apricotquay.serving.messages import JobPage, ReadJob, ResultItem, encode_frame

from .base import ApricotTest
from .test_platform_fleet import PlatformTest
from .test_serving_jobs import TEAM, quiet_reporter, submission

# What one page of results may hold at most, as JSON.
PAGE_BYTES = 1_000_000
STORE_RECORD_BYTES = 262_144
SPOILED = [b"\xff", b"a\xc3", b"\xed\xa0\x80", b"\xf8\x88\x80\x80\x80", b"\x00\xfe"]
ODD_TEXTS = [
    "lot-\u2028x",
    "lot-\u2029x",
    "lot-\x85x",
    "lot-\x0cx\x0b\x1c\x1d\x1ey",
    "lot-\x00x",
    "\x00",
    "\ufeffx",
    " x ",
    "\U0001f600",
    "",
    "id: 7",
    '"\\',
]


class OddOutputTest(PlatformTest):
    """A job of which one item's output is odd, in a whole fleet."""

    def read_job(self, make_data, step_s: float = 0.001, after_start=None) -> dict:
        """Return the results of a job of six items of four events."""
        found = {}

        async def scenario(fleet):
            for server in fleet.servers:
                server.make_data = make_data
            bodies = ["events=4"] * 6
            self.assertEqual(202, await fleet.submit(fleet.daemons[0], "j", bodies))
            if after_start is not None:
                await after_start(fleet)
            for daemon in fleet.daemons:
                found.update(await fleet.wait_for_results(daemon, "j"))

        self.run_scenario(scenario, step_s=step_s)
        return found

    @parameterized.expand([(repr(data)[2:-1], data) for data in SPOILED])
    def test_bytes_that_are_no_text_make_no_job_unreadable(self, _name, data):
        """They came once, in one event of one item; the item runs again."""
        spoiled = []

        def make_data(request_id: str, number: int) -> bytes:
            if request_id == "j-2" and number == 1 and not spoiled:
                spoiled.append(data)
                return data
            return b"%d" % number

        results = self.read_job(make_data)
        self.assertEqual([data], spoiled)
        self.assertEqual({("done", "0\n1\n2\n3")}, set(results.values()))
        self.assertEqual(6, len(results))

    @parameterized.expand([(ascii(text), text) for text in ODD_TEXTS])
    def test_text_with_odd_characters_is_listed_whole(self, _name, text):
        """Only line feeds and carriage returns end a line of an event."""
        results = self.read_job(lambda request_id, number: text.encode())
        self.assertEqual({("done", "\n".join([text] * 4))}, set(results.values()))

    def test_text_with_separators_survives_the_loss_of_its_daemons(self):
        """It goes through the stored progress of another daemon."""

        async def replace_daemons(fleet) -> None:
            while not any(server.sent_event_count > 6 for server in fleet.servers):
                await fleet.wait_until(lambda: True)
                await asyncio.sleep(0.01)
            for daemon in fleet.daemons:
                await daemon.runner.stop()
                await daemon.close()
            fleet.daemons.clear()
            fleet.store.log._members.clear()
            await fleet.add_daemon("new")

        results = self.read_job(
            lambda request_id, number: b"%d\x00" % number, 0.15, replace_daemons
        )
        self.assertEqual(
            {("done", "0\x00\n1\x00\n2\x00\n3\x00")}, set(results.values())
        )


class StoredOutputTest(ApricotTest):
    """Records that the previous release wrote, and pages of results."""

    @parameterized.expand([(repr(data)[2:-1], data) for data in SPOILED])
    def test_result_that_the_previous_release_stored_can_be_read(self, _name, data):
        """It kept bytes that are no text; all results of the job were refused."""
        value = cbor2.dumps([0, "i", True, zlib.compress(data)])
        result = decode_result(value)
        page = JobPage(1, list(_page_results(self.job([result]), 0)))
        self.assertEqual(1, json.loads(_encode_page(page, 0))["next"])
        self.assertTrue(encode_frame(1, page))

    @parameterized.expand([(repr(data)[2:-1], data) for data in SPOILED])
    def test_spoiled_progress_of_the_previous_release_is_not_continued(
        self, _name, data
    ):
        """The item runs from its start; its failures still count."""
        value = cbor2.dumps([3, zlib.compress(data), 2, "v1"])
        self.assertEqual(ProgressRecord(-1, [], 2), decode_progress(value))

    def test_records_are_those_of_the_previous_release(self):
        """It reads them as they were."""
        value = encode_result("k", 0, ResultRecord(4, "i", True, "ä\n\u2028")).value
        position, item_id, is_done, packed = cbor2.loads(value)
        self.assertEqual([4, "i", True], [position, item_id, is_done])
        self.assertEqual("ä\n\u2028", zlib.decompress(packed).decode())
        value = encode_progress("k", 0, ProgressRecord(1, ["a", "b"], 0, "v")).value
        last_id, packed, failures, version = cbor2.loads(value)
        self.assertEqual([1, 0, "v"], [last_id, failures, version])
        self.assertEqual(b"a\x00b", zlib.decompress(packed))

    @parameterized.expand([("wide", "\u4e2d"), ("quotes", '"'), ("control", "\x01")])
    def test_page_stays_below_its_size_as_it_is_sent(self, _name, character):
        """Characters take up to six bytes of JSON."""
        texts = [character * 60_000] * 40
        results = [ResultRecord(n, f"i{n}", True, t) for n, t in enumerate(texts)]
        found = list(_page_results(self.job(results), 0))
        self.assertGreaterEqual(len(found), 1)
        self.assertLess(len(_encode_page(JobPage(40, found), 0)), PAGE_BYTES)

    def test_result_larger_than_a_page_is_given_alone(self):
        """At least one result is given if there is one."""
        results = [ResultRecord(n, f"i{n}", True, "x" * PAGE_BYTES) for n in (0, 1)]
        self.assertEqual(1, len(list(_page_results(self.job(results), 0))))

    def test_reply_that_cannot_be_encoded_leaves_the_connection_working(self):
        """The call gets no reply, and the next one does."""

        async def handle(_connection, message):
            text = "\udcff" if message.after else "x"
            return JobPage(1, [ResultItem("i", True, text)])

        asyncio.run(self.call_twice(handle))

    async def call_twice(self, handle) -> None:
        """Call a peer twice over one connection."""
        peer = Peers(handle, quiet_reporter())
        caller = Peers(handle, quiet_reporter())
        try:
            address = f"127.0.0.1:{await peer.start('127.0.0.1', 0)}"
            connection = await caller.connect(address)
            with self.assertRaises(PeerUnavailableError):
                await connection.call(ReadJob(TEAM, JobId("j"), 1, 0), 0.3)
            reply = await connection.call(ReadJob(TEAM, JobId("j"), 0, 0), 5.0)
            self.assertEqual("x", reply.results[0].text)
        finally:
            await caller.close()
            await peer.close()

    def job(self, results: list[ResultRecord]) -> Job:
        """Return a job with some results."""
        job = Job("k", None, [None] * len(results))
        for index, result in enumerate(results):
            job.apply_result(index, result)
        return job


class ParseEventTest(ApricotTest):
    """The border at which an endpoint's bytes become text."""

    @parameterized.expand(
        [
            (b"data: a\ndata: b\n\n", "a\nb"),
            (b"data: a\r\ndata: b\r\n\r\n", "a\nb"),
            (b"data:a\rdata: b\n\n", "a\nb"),
            ("data: a\u2028b\n\n".encode(), "a\u2028b"),
            (b"data: a\x0bb\x0c\x1cc\n\n", "a\x0bb\x0c\x1cc"),
            (b"data\n\n", ""),
        ]
    )
    def test_lines_end_where_event_streams_say(self, raw, data):
        """All other characters belong to the data."""
        event = parse_event(b"id: 3\n" + raw)
        self.assertEqual((3, data, True), (event.id, event.data, event.is_text))

    @parameterized.expand([(data,) for data in SPOILED])
    def test_event_that_is_no_text_says_so(self, data):
        """Callers of streams still get its bytes as they are."""
        event = parse_event(b"id: 3\ndata: " + data + b"\n\n")
        self.assertEqual((3, False), (event.id, event.is_text))
        self.assertIn(data, event.raw)


class LargeOutputTest(PlatformTest):
    """An output whose record would be larger than the store takes."""

    def test_large_output_is_listed_whole_and_holds_up_no_other(self):
        """It hardly compresses; the store of the stand-ins refuses such records."""
        rng = random.Random(1)
        parts = [rng.randbytes(100_000).hex() for _ in range(4)]

        async def scenario(fleet):
            for server in fleet.servers:
                server.make_data = lambda request_id, number: (
                    parts[number].encode() if request_id == "j-2" else b"x"
                )
            fleet.store.log.max_record_bytes = STORE_RECORD_BYTES
            bodies = ["events=4"] * 6
            self.assertEqual(202, await fleet.submit(fleet.daemons[0], "j", bodies))
            results = await fleet.wait_for_results(fleet.daemons[0], "j")
            expected = {f"j-{n}": ("done", "x\nx\nx\nx") for n in range(6)}
            expected["j-2"] = ("done", "\n".join(parts))
            self.assertEqual(expected, results)
            for daemon in fleet.daemons:
                await daemon.close()
            fleet.daemons.clear()
            fleet.store.log._members.clear()
            daemon = await fleet.add_daemon("new")
            self.assertEqual(expected, await fleet.wait_for_results(daemon, "j"))

        self.run_scenario(scenario)

    @parameterized.expand([(seed,) for seed in range(6)])
    def test_records_of_a_large_text_give_it_in_any_order(self, seed):
        """Loading the newest records mixes them."""
        rng = random.Random(seed)
        text = rng.randbytes(400_000).hex()
        job = submission(items=2)
        key = job_key(TEAM, job.id)
        large = ResultRecord(0, "job-1", True, text)
        records = encode_submission(job)
        records += encode_result_records(key, 1, large)
        records += encode_result_records(key, 0, ResultRecord(1, "job-0", True, "b"))
        self.assertLess(max(len(r.value) for r in records), STORE_RECORD_BYTES)
        rng.shuffle(records)
        table = JobTable()
        for record in records:
            table.apply(record)
        self.assertEqual([text, "b"], [r.text for r in table.jobs[key].results])
        table.jobs[key].is_cancelled = True
        tombstones = job_tombstones(job_header(table), table.jobs[key].text_parts)
        deleted = {record.key for record in tombstones}
        self.assertLessEqual({record.key for record in records}, deleted)

    def test_previous_release_reads_the_beginning_of_a_large_text(self):
        """It passes the parts over, and counts positions as this release does."""
        text = random.Random(1).randbytes(400_000).hex()
        *parts, record = encode_result_records("k", 0, ResultRecord(3, "i", True, text))
        position, item_id, is_done, packed = cbor2.loads(record.value)
        self.assertEqual((3, "i", True), (position, item_id, is_done))
        self.assertTrue(text.startswith(zlib.decompress(packed).decode()))
        self.assertEqual({b"x"}, {part.key[:1] for part in parts})

    def test_output_larger_than_a_page_is_not_kept(self):
        """Nor does it grow over several attempts, each of which breaks off."""
        progress = ItemProgress(None)
        event = StreamEvent(b"", 0, "x" * 100_000)
        for number in range(9):
            progress.append_event(msgspec.structs.replace(event, id=number), "v")
        with self.assertRaises(AttemptFailedError):
            for number in range(9, 12):
                progress.append_event(msgspec.structs.replace(event, id=number), "v")
        self.assertEqual(([], -1), (progress.data, progress.last_id))


def job_header(table: JobTable):
    """Return the header of a table's only job."""
    (job,) = table.jobs.values()
    return job.header
