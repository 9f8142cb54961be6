"""Online requests against real processes: whole answers, errors, no key leaked."""

import json
import time

from openai import OpenAI
from parameterized import parameterized
from testtools.content import text_content

from apricotquay.events import Event
from standins.engine import POISON_MARK, generate_text
from standins.fleet import FleetSpec, TeamSpec

from .base import FleetTest, LoadGenerator, stream_events


class OnlineTest(FleetTest):
    """One fleet for all; each test takes its faults back."""

    # A team for each case that retries, since retries are a share of requests.
    teams = ["small", "large", *(f"team{n}" for n in range(5))]
    spec = FleetSpec(
        daemons=2, engines=3, services=1, teams={team: TeamSpec() for team in teams}
    )

    def setUp(self):
        super().setUp()
        self.addCleanup(self.set_faults, **self.no_faults())

    def no_faults(self) -> dict:
        """Return the faults of an engine, all off."""
        return {
            "refuse": False,
            "cut_after_tokens": 0,
            "cross_answers": False,
            "truncate_after_tokens": 0,
            "repeat_tokens": False,
        }

    def set_faults(self, engines: int = 3, **faults) -> None:
        """Set faults at the first engines."""
        for vm in self.fleet.endpoints[:engines]:
            self.fleet.post(vm.address, "/faults", faults)

    def test_answer_is_whole_at_every_daemon(self):
        """Both shapes of answer, any daemon."""
        for index in range(2):
            prompt = f"whole {index}"
            text = self.extract_text(self.chat(index, prompt, 12))
            self.assertEqual(generate_text(prompt, 12), text)
            parts = [
                json.loads(event)["choices"][0]["delta"].get("content") or ""
                for event in stream_events(self.open_stream(index, prompt, 12))
                if event != b"[DONE]"
            ]
            self.assertEqual(generate_text(prompt, 12), "".join(parts))

    def test_client_library_of_the_interface_works(self):
        """Chat, stream, models, file, batch and results by an outside client."""
        client = OpenAI(
            base_url=self.fleet.daemons[0].caller.url + "/v1",
            api_key=self.fleet.keys["small"],
        )
        messages = [{"role": "user", "content": "client"}]
        whole = client.chat.completions.create(
            model="quay-llm", messages=messages, max_tokens=5
        )
        self.assertEqual(generate_text("client", 5), whole.choices[0].message.content)
        stream = client.chat.completions.create(
            model="quay-llm", messages=messages, max_tokens=5, stream=True
        )
        text = "".join(chunk.choices[0].delta.content or "" for chunk in stream)
        self.assertEqual(generate_text("client", 5), text)
        self.assertEqual(["quay-llm"], [m.id for m in client.models.list()])
        lines = "\n".join(self.item_lines("client", 20)).encode()
        uploaded = client.files.create(file=("items.jsonl", lines), purpose="batch")
        batch = client.batches.create(
            input_file_id=uploaded.id,
            endpoint="/v1/chat/completions",
            completion_window="24h",
        )
        self.wait_for_job([0, 1], batch.id)
        batch = client.batches.retrieve(batch.id)
        self.assertEqual("completed", batch.status)
        content = client.files.content(batch.output_file_id).read()
        self.assertEqual(20, len(content.splitlines()))

    @parameterized.expand(
        [
            ("team0", "cut in the stream", {"cut_after_tokens": 3}),
            ("team1", "truncated without an error", {"truncate_after_tokens": 3}),
            ("team2", "answers crossed", {"cross_answers": True}),
            ("team3", "refused", {"refuse": True}),
            ("team4", "tokens repeated", {"repeat_tokens": True}),
        ]
    )
    def test_answer_stays_whole_when_two_engines_misbehave(self, team, name, faults):
        """The request goes on at another engine, from its last token."""
        self.set_faults(2, **faults)
        for number in range(4):
            prompt = f"{name} {number}"
            answer = self.chat(0, prompt, 10, team)
            self.assertEqual(200, answer.status, answer.body)
            self.assertEqual(generate_text(prompt, 10), self.extract_text(answer))
        time.sleep(1.2)

    @parameterized.expand(
        [
            ("cut in the stream", {"cut_after_tokens": 3}, "stream_broken", "ran"),
            ("truncated", {"truncate_after_tokens": 3}, "stream_broken", "ran"),
            ("crossed", {"cross_answers": True}, "stream_broken", "ran"),
            ("refused", {"refuse": True}, None, "not_run"),
        ]
    )
    def test_no_short_answer_passes_as_success(self, name, faults, kind, ran):
        """All engines misbehave: an error, and a true word on whether it ran."""
        self.set_faults(**faults)
        answer = self.chat(0, f"all {name}", 40)
        self.assertNotEqual(200, answer.status)
        if kind is not None:
            self.assertEqual(kind, answer.error()["type"])
        self.assertEqual(ran, answer.error()["ran"])
        self.set_faults(**self.no_faults())
        time.sleep(2.2)

    @parameterized.expand(
        [
            ("no key", {"team": None}, 401, "key_missing"),
            (
                "unknown key",
                {"team": None, "headers": {"authorization": "Bearer x"}},
                401,
                "key_rejected",
            ),
            ("unknown model", {"model": "nope"}, 404, "route_unknown"),
            ("no messages", {"messages": []}, 400, "bad_request"),
            ("tokens below one", {"max_tokens": 0}, 400, "bad_request"),
            ("tokens no number", {"max_tokens": "x"}, 400, "bad_request"),
            (
                "deadline no number",
                {"headers": {"x-deadline-ms": "soon"}},
                400,
                "bad_request",
            ),
        ]
    )
    def test_bad_input_gets_a_clear_error(self, _name, fields, status, kind):
        """The daemon goes on; nothing of the request ran."""
        tokens = fields.pop("max_tokens", 8)
        answer = self.chat(0, "bad input", tokens, **fields)
        self.assertEqual((status, kind), (answer.status, answer.error()["type"]))
        self.assertEqual("not_run", answer.error()["ran"])

    @parameterized.expand(
        [
            ("malformed", b"{", 400, "bad_request"),
            ("no object", b"[]", 400, "bad_request"),
            ("oversized", b" " * (1024 * 1024 + 1), 413, "body_too_large"),
            ("binary", b"\xff\xfe\x00", 400, "bad_request"),
        ]
    )
    def test_bad_body_gets_a_clear_error(self, _name, body, status, kind):
        """Whatever the bytes are."""
        answer = self.call(0, "POST", "/v1/chat/completions", body=body)
        self.assertEqual((status, kind), (answer.status, answer.error()["type"]))

    @parameterized.expand(
        [
            ("malformed", ["{"], "line[2]"),
            ("no custom_id", ['{"url":"/v1/chat/completions","body":{}}'], "line[2]"),
            ("repeated", None, "line[2].custom_id"),
        ]
    )
    def test_bad_job_line_is_named(self, name, lines, param):
        """The whole job is refused and the answer names the line."""
        good = self.item_lines("bad", 1)
        answer = self.submit(0, f"bad {name}", good + (lines or good))
        self.assertEqual(400, answer.status)
        self.assertEqual(param, answer.error()["param"])

    def test_no_endpoint_sees_a_key(self):
        """Headers, query strings and bodies of all that endpoints were sent."""
        headers = {"x-api-key": self.fleet.keys["small"], "cookie": "a=b"}
        self.chat(0, "no key", user=self.fleet.keys["large"])
        self.call(0, "POST", "/services/filing/a?b=c", headers=headers, body=b"x")
        for path, body in (("/a", self.fleet.keys["small"]), ("/a?k=", "")):
            suffix = self.fleet.keys["small"] if path.endswith("=") else ""
            url = f"/services/filing{path}{suffix}"
            self.assertEqual(400, self.call(0, "POST", url, body=body).status)
        self.assertEqual(400, self.chat(0, self.fleet.keys["small"]).status)
        seen = [
            json.dumps(self.fleet.get(vm.address, "/seen"))
            for vm in self.fleet.endpoints
        ]
        for key in self.fleet.keys.values():
            self.assertNotIn(key, "".join(seen))

    def test_logs_hold_no_key_prompt_or_answer(self):
        """Searched in everything that the daemons logged."""
        self.chat(0, "a prompt that must not be logged", 6)
        logs = self.fleet.read_logs()
        answer = generate_text("a prompt that must not be logged", 6).split()[0]
        for text in (*self.fleet.keys.values(), "must not be logged", answer):
            self.assertNotIn(text, logs)

    def test_jobs_and_results_are_the_teams_own(self):
        """Another team's key finds nothing and cancels nothing."""
        batch = self.submit(0, "own", self.item_lines("own", 5)).json()
        self.wait_for_job([0], batch["id"])
        output = self.batch([0], batch["id"])["output_file_id"]
        for method, path in (
            ("GET", f"/v1/batches/{batch['id']}"),
            ("POST", f"/v1/batches/{batch['id']}/cancel"),
            ("GET", f"/v1/files/{output}/content"),
        ):
            headers = {"x-team": "small"}
            answer = self.call(1, method, path, "large", headers)
            self.assertEqual(404, answer.status)

    def test_deadline_ends_a_request_at_once(self):
        """In the middle of its answer, with a true word on whether it ran."""
        started_s = time.monotonic()
        headers = {"x-deadline-ms": "300"}
        answer = self.chat(0, "late", 2000, headers=headers)
        self.assertEqual("deadline_exceeded", answer.error()["type"])
        self.assertEqual("ran", answer.error()["ran"])
        self.assertLess(time.monotonic() - started_s, 10)

    def test_caller_that_hangs_up_stops_its_stream(self):
        """The engine has the slot back."""
        response = self.open_stream(0, "hang up", 4000)
        next(stream_events(response))
        response.close()
        self.fleet.wait_until(
            lambda: self.fleet.status(0)["online_running"] == 0, "the stream stops"
        )


class CrashTest(FleetTest):
    """Engines that die."""

    fleet_per_test = True
    spec = FleetSpec(daemons=3, engines=6)

    def setUp(self) -> None:
        """Show what the daemons made of each death if a test fails."""
        super().setUp()
        self.addCleanup(
            lambda: self.addDetail("deaths", text_content(self.death_lines()))
        )

    def death_lines(self) -> str:
        """Return the log lines on deaths and convictions."""
        wanted = {Event.ENDPOINT_CRASHED, Event.REQUEST_QUARANTINED}
        numbers = {event.number for event in wanted}
        lines = self.fleet.read_logs().splitlines(keepends=True)
        return "".join(
            line for line in lines if json.loads(line).get("number") in numbers
        )

    def test_poisoned_request_is_stopped_and_innocents_complete(self):
        """It kills three engines at most, whichever daemon it is sent to."""
        load = LoadGenerator(lambda n: self.chat(n % 3, f"innocent {n}", 20), 6)
        load.start()
        statuses = []
        for attempt in range(6):
            answer = self.chat(attempt % 3, f"please {POISON_MARK}", 5)
            statuses.append(answer.error()["type"])
            time.sleep(0.3)
        load.close()
        running = [vm for vm in self.fleet.endpoints if vm.process.is_running()]
        self.assertGreaterEqual(len(running), 3)
        self.assertEqual(["request_quarantined"] * 3, statuses[-3:])
        failed = [o for o in load.outcomes if getattr(o, "status", 0) != 200]
        self.assertEqual([], failed)
        self.assertEqual(200, self.chat(0, "innocent 0", 20).status)

    def test_poisoned_item_of_a_job_fails_and_the_rest_completes(self):
        """The job completes around it."""
        lines = self.item_lines("job", 40, 20)
        poisoned = json.loads(lines[7])
        poisoned["body"]["messages"][0]["content"] = f"please {POISON_MARK}"
        lines[7] = json.dumps(poisoned)
        batch = self.submit(0, "poisoned", lines).json()
        batch = self.wait_for_job([0, 1, 2], batch["id"])
        counts = batch["request_counts"]
        self.assertEqual((39, 1), (counts["completed"], counts["failed"]))
        running = [vm for vm in self.fleet.endpoints if vm.process.is_running()]
        self.assertGreaterEqual(len(running), 3)
