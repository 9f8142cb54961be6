"""What happens after an error that nobody foresaw."""

import asyncio
import base64
import json

from apricotquay.events import Event
from apricotquay.serving import tasks as tasks_module
from apricotquay.serving.tasks import start_task

from .base import ApricotTest
from .test_platform_fleet import PlatformTest
from .test_serving_jobs import quiet_reporter


class TaskTest(ApricotTest):
    """Background tasks."""

    def test_failed_task_is_told_and_goes_on(self):
        """One bad moment must not end what a daemon does for good."""
        self.patch(tasks_module, "RESTART_PAUSE_S", 0.001)
        told = []
        reporter = quiet_reporter()
        reporter.write = lambda event, **fields: told.append((event, fields["task"]))
        runs = []

        async def work() -> None:
            runs.append(1)
            if len(runs) < 3:
                raise KeyError("unforeseen")

        async def run() -> None:
            async with asyncio.timeout(10):
                await start_task("work", work, reporter)

        asyncio.run(run())
        self.assertEqual(3, len(runs))
        self.assertEqual([(Event.THREAD_FAILED, "work")] * 2, told)


class UnforeseenTest(PlatformTest):
    """Requests."""

    def test_caller_is_answered_when_the_daemon_fails(self):
        """With 500, which promises nothing; the next request is served."""

        async def scenario(fleet):
            daemon = fleet.daemons[0]
            find_route = daemon.view.configuration.find_route
            daemon.view.configuration.find_route = None
            answer = await fleet.call(daemon, "POST", "/s/1", b"", attempt_id="a")
            self.assertEqual(500, answer.status)
            daemon.view.configuration.find_route = find_route
            answer = await fleet.call(daemon, "POST", "/s/1", b"", attempt_id="b")
            self.assertEqual(200, answer.status)

        self.run_scenario(scenario, daemons=1)

    def test_item_that_cannot_be_sent_holds_up_no_other(self):
        """Its headers are none that HTTP knows."""

        async def scenario(fleet):
            body = base64.b64encode(b"events=2").decode()
            items = [
                {"id": f"j-{n}", "path": f"/b/{n}", "headers": h, "body": body}
                for n, h in enumerate(({"Model": "\N{SNOWMAN}"}, {"Model": "m"}))
            ]
            data = json.dumps({"items": items}).encode()
            answer = await fleet.call(
                fleet.daemons[0], "POST", "/b/job", data, attempt_id="j"
            )
            self.assertEqual(202, answer.status)
            while True:
                answer = await fleet.call(
                    fleet.daemons[0], "GET", "/-/lots/j?after=0", attempt_id="r"
                )
                page = json.loads(answer.body)
                if page["next"]:
                    break
            self.assertEqual("j-1", page["results"][0]["id"])

        self.run_scenario(scenario, daemons=1)
