"""Online requests to real processes: complete responses, errors, no leaked keys."""

import json
import time

from openai import OpenAI
from parameterized import parameterized
from testtools.content import text_content

from apricotquay.events import Event
from standins.engine import POISON_MARK, generate_text
from standins.fleet import FleetSpec, TeamSpec

from .base import ClosedLoopGenerator, FleetTest, stream_events


class OnlineTest(FleetTest):
    """The tests share one fleet; each resets the faults that it sets."""

    # A team for each case that retries: retries are limited to a share of requests.
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
        """Set faults of the first engines."""
        for vm in self.fleet.endpoints[:engines]:
            self.fleet.post(vm.address, "/faults", faults)

    def test_response_is_complete_at_every_daemon(self):
        """It is complete both when streamed and when sent as a whole."""
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

    def test_openai_client_library_works(self):
        """Chat, stream, models, file, batch and results by a third-party client."""
        client = OpenAI(
            base_url=self.fleet.daemons[0].caller.url + "/v1",
            api_key=self.fleet.keys["small"],
        )
        messages = [{"role": "user", "content": "client"}]
        completion = client.chat.completions.create(
            model="quay-llm", messages=messages, max_tokens=5
        )
        self.assertEqual(
            generate_text("client", 5), completion.choices[0].message.content
        )
        stream = client.chat.completions.create(
            model="quay-llm", messages=messages, max_tokens=5, stream=True
        )
        text = "".join(chunk.choices[0].delta.content or "" for chunk in stream)
        self.assertEqual(generate_text("client", 5), text)
        self.assertEqual(["quay-llm"], [m.id for m in client.models.list()])
        lines = "\n".join(self.make_item_lines("client", 20)).encode()
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
            ("team2", "responses crossed", {"cross_answers": True}),
            ("team3", "refused", {"refuse": True}),
            ("team4", "tokens repeated", {"repeat_tokens": True}),
        ]
    )
    def test_response_is_complete_when_two_engines_are_faulty(self, team, name, faults):
        """The request resumes at another engine after its last token."""
        self.set_faults(2, **faults)
        for number in range(4):
            prompt = f"{name} {number}"
            response = self.chat(0, prompt, 10, team)
            self.assertEqual(200, response.status, response.body)
            self.assertEqual(generate_text(prompt, 10), self.extract_text(response))
        time.sleep(1.2)

    @parameterized.expand(
        [
            ("cut in the stream", {"cut_after_tokens": 3}, "stream_broken", "ran"),
            ("truncated", {"truncate_after_tokens": 3}, "stream_broken", "ran"),
            ("crossed", {"cross_answers": True}, "stream_broken", "ran"),
            ("refused", {"refuse": True}, None, "not_run"),
        ]
    )
    def test_incomplete_response_is_reported_as_an_error(self, name, faults, kind, ran):
        """All engines are faulty; the error says whether the request ran."""
        self.set_faults(**faults)
        response = self.chat(0, f"all {name}", 40)
        self.assertNotEqual(200, response.status)
        if kind is not None:
            self.assertEqual(kind, response.error()["type"])
        self.assertEqual(ran, response.error()["ran"])
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
        """The daemon keeps running; none of the request ran."""
        tokens = fields.pop("max_tokens", 8)
        response = self.chat(0, "bad input", tokens, **fields)
        self.assertEqual((status, kind), (response.status, response.error()["type"]))
        self.assertEqual("not_run", response.error()["ran"])

    @parameterized.expand(
        [
            ("malformed", b"{", 400, "bad_request"),
            ("no object", b"[]", 400, "bad_request"),
            ("oversized", b" " * (1024 * 1024 + 1), 413, "body_too_large"),
            ("binary", b"\xff\xfe\x00", 400, "bad_request"),
        ]
    )
    def test_bad_body_gets_a_clear_error(self, _name, body, status, kind):
        """The body may contain any bytes."""
        response = self.call(0, "POST", "/v1/chat/completions", body=body)
        self.assertEqual((status, kind), (response.status, response.error()["type"]))

    @parameterized.expand(
        [
            ("malformed", ["{"], "line[2]"),
            ("no custom_id", ['{"url":"/v1/chat/completions","body":{}}'], "line[2]"),
            ("repeated", None, "line[2].custom_id"),
        ]
    )
    def test_invalid_job_line_is_named(self, name, lines, param):
        """The whole job is rejected and the error names the line."""
        good = self.make_item_lines("bad", 1)
        response = self.submit(0, f"bad {name}", good + (lines or good))
        self.assertEqual(400, response.status)
        self.assertEqual(param, response.error()["param"])

    def test_no_endpoint_sees_a_key(self):
        """Checks headers, query strings and bodies of all requests to endpoints."""
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

    def test_logs_contain_no_key_prompt_or_response(self):
        """Searches all log lines of the daemons."""
        self.chat(0, "a prompt that must not be logged", 6)
        logs = self.fleet.read_logs()
        first_word = generate_text("a prompt that must not be logged", 6).split()[0]
        for text in (*self.fleet.keys.values(), "must not be logged", first_word):
            self.assertNotIn(text, logs)

    def test_jobs_and_results_are_visible_to_their_team_only(self):
        """Another team's key can neither read nor cancel them."""
        batch = self.submit(0, "own", self.make_item_lines("own", 5)).json()
        self.wait_for_job([0], batch["id"])
        output = self.fetch_batch([0], batch["id"])["output_file_id"]
        for method, path in (
            ("GET", f"/v1/batches/{batch['id']}"),
            ("POST", f"/v1/batches/{batch['id']}/cancel"),
            ("GET", f"/v1/files/{output}/content"),
        ):
            headers = {"x-team": "small"}
            response = self.call(1, method, path, "large", headers)
            self.assertEqual(404, response.status)

    def test_deadline_ends_a_request_at_once(self):
        """It ends in the middle of the response; the error says that it ran."""
        started_s = time.monotonic()
        headers = {"x-deadline-ms": "300"}
        response = self.chat(0, "late", 2000, headers=headers)
        self.assertEqual("deadline_exceeded", response.error()["type"])
        self.assertEqual("ran", response.error()["ran"])
        self.assertLess(time.monotonic() - started_s, 10)

    def test_stream_stops_when_its_caller_disconnects(self):
        """The slot at the engine is free again."""
        response = self.open_stream(0, "hang up", 4000)
        next(stream_events(response))
        response.close()
        self.fleet.wait_until(
            lambda: self.fleet.status(0)["online_running"] == 0, "the stream stops"
        )


class CrashTest(FleetTest):
    """Requests that crash engines."""

    fleet_per_test = True
    spec = FleetSpec(daemons=3, engines=6)

    def setUp(self) -> None:
        """Attach the daemons' log lines on crashes to a failed test."""
        super().setUp()
        self.addCleanup(
            lambda: self.addDetail("crashes", text_content(self.crash_lines()))
        )

    def crash_lines(self) -> str:
        """Return the log lines on crashes and quarantined requests."""
        crash_events = {Event.ENDPOINT_CRASHED, Event.REQUEST_QUARANTINED}
        numbers = {event.number for event in crash_events}
        lines = self.fleet.read_logs().splitlines(keepends=True)
        return "".join(line for line in lines if self.event_number(line) in numbers)

    def event_number(self, line: str) -> int | None:
        """Return the event of a log line; a line that is no JSON fails the test."""
        try:
            return json.loads(line).get("number")
        except json.JSONDecodeError as exc:
            raise AssertionError(f"a log line is no JSON: {line!r}") from exc

    def test_poison_request_is_quarantined_and_others_complete(self):
        """It crashes at most three engines, whichever daemons receive it."""
        load = ClosedLoopGenerator(lambda n: self.chat(n % 3, f"harmless {n}", 20), 6)
        load.start()
        statuses = []
        for attempt in range(6):
            response = self.chat(attempt % 3, f"please {POISON_MARK}", 5)
            statuses.append(response.error()["type"])
            time.sleep(0.3)
        load.close()
        running = [vm for vm in self.fleet.endpoints if vm.process.is_running()]
        self.assertGreaterEqual(len(running), 3)
        self.assertEqual(["request_quarantined"] * 3, statuses[-3:])
        failed = [o for o in load.outcomes if getattr(o, "status", 0) != 200]
        self.assertEqual([], failed)
        self.assertEqual(200, self.chat(0, "harmless 0", 20).status)

    def test_poison_item_fails_and_the_rest_of_its_job_completes(self):
        """The item crashes at most three engines."""
        lines = self.make_item_lines("job", 40, 20)
        poison_item = json.loads(lines[7])
        poison_item["body"]["messages"][0]["content"] = f"please {POISON_MARK}"
        lines[7] = json.dumps(poison_item)
        batch = self.submit(0, "poisoned", lines).json()
        batch = self.wait_for_job([0, 1, 2], batch["id"])
        counts = batch["request_counts"]
        self.assertEqual((39, 1), (counts["completed"], counts["failed"]))
        running = [vm for vm in self.fleet.endpoints if vm.process.is_running()]
        self.assertGreaterEqual(len(running), 3)
