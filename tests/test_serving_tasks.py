"""Unexpected errors in background tasks, requests and batch items."""

import asyncio
import base64
import json

from parameterized import parameterized

from apricotquay.events import Event
from apricotquay.serving import tasks as tasks_module
from apricotquay.serving.tasks import start_task

from .base import ApricotTest
from .test_platform_fleet import PlatformTest
from .test_serving_jobs import quiet_reporter


class TaskTest(ApricotTest):
    """Supervised background tasks."""

    @parameterized.expand(
        [
            ("error", KeyError("unexpected")),
            ("future cancelled by another task", asyncio.CancelledError()),
        ]
    )
    def test_failed_task_is_logged_and_restarted(self, _name, error):
        """A single error must not permanently stop a background task."""
        self.patch(tasks_module, "RESTART_DELAY_S", 0.001)
        logged = []
        reporter = quiet_reporter()
        reporter.write = lambda event, **fields: logged.append((event, fields["task"]))
        runs = []

        async def work() -> None:
            runs.append(1)
            if len(runs) < 3:
                raise error

        async def run() -> None:
            async with asyncio.timeout(10):
                await start_task("work", work, reporter)

        asyncio.run(run())
        self.assertEqual(3, len(runs))
        self.assertEqual([(Event.THREAD_FAILED, "work")] * 2, logged)

    def test_cancelled_task_is_not_restarted(self):
        """It is how a daemon stops its tasks."""

        async def run() -> None:
            task = start_task("work", asyncio.Event().wait, quiet_reporter())
            await asyncio.sleep(0)
            task.cancel()
            async with asyncio.timeout(10):
                await asyncio.wait([task])
            self.assertTrue(task.cancelled())

        asyncio.run(run())


class UnexpectedErrorTest(PlatformTest):
    """Unexpected errors while handling requests and batch items."""

    def test_caller_gets_500_on_an_unexpected_error(self):
        """A 500 does not say whether the request ran; the next request is served."""

        async def scenario(fleet):
            daemon = fleet.daemons[0]
            find_route = daemon.view.configuration.find_route
            daemon.view.configuration.find_route = None
            response = await fleet.call(daemon, "POST", "/s/1", b"", attempt_id="a")
            self.assertEqual(500, response.status)
            daemon.view.configuration.find_route = find_route
            response = await fleet.call(daemon, "POST", "/s/1", b"", attempt_id="b")
            self.assertEqual(200, response.status)

        self.run_scenario(scenario, daemons=1)

    def test_item_that_cannot_be_sent_does_not_block_others(self):
        """One item has a header value that HTTP cannot encode."""

        async def scenario(fleet):
            body = base64.b64encode(b"events=2").decode()
            items = [
                {"id": f"j-{n}", "path": f"/b/{n}", "headers": h, "body": body}
                for n, h in enumerate(({"Model": "\N{SNOWMAN}"}, {"Model": "m"}))
            ]
            data = json.dumps({"items": items}).encode()
            response = await fleet.call(
                fleet.daemons[0], "POST", "/b/job", data, attempt_id="j"
            )
            self.assertEqual(202, response.status)
            while True:
                response = await fleet.call(
                    fleet.daemons[0], "GET", "/-/lots/j?after=0", attempt_id="r"
                )
                page = json.loads(response.body)
                if page["next"]:
                    break
            self.assertEqual("j-1", page["results"][0]["id"])

        self.run_scenario(scenario, daemons=1)
