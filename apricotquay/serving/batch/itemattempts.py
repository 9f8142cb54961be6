"""Runs batch items at endpoints: a slot, one call, and what came of it."""

import asyncio
from collections.abc import Callable
from functools import partial

from ...clocks import Clock
from ...events import Event
from ...ids import RouteName
from ..catalog import ServiceName, allowed_regions
from ..engine import (
    AttemptFailedError,
    EngineCall,
    EngineResponse,
    RequestNotRunError,
)
from ..fleet.view import View
from ..http.http1 import HeaderList
from ..metrics import ServingMetrics
from ..online.attempts import AttemptRunner, read_events
from ..reporting import Reporter
from ..slots.allocator import SlotAllocator
from ..slots.eligibility import Ineligible
from ..slots.memory import RequestSizes, TokenUsage, exceeds_memory
from ..slots.outliers import SlotOutcome
from ..slots.schedulingterms import SchedulingTerms, scheduling_terms
from ..slots.slotrequests import SlotLease, SlotRequest, SlotUnavailableError
from ..slots.tickets import Work, before_send
from .itemprogress import (
    EVENT_TIMEOUT_S,
    AttemptResult,
    ItemProgress,
    Outcome,
    RunTimeEstimate,
)
from .itemschedule import postponement_s
from .jobtable import Job
from .routecache import RouteCache
from .runningitems import ItemWait, RunningItem

ITEM_TIMEOUT_MS = 60_000
MAX_SLOT_WAIT_S = 3_600.0
SERVER_ERROR = 500
UNPROCESSABLE = 422
OK = 200


class ItemAttempts:
    """Makes attempts at batch items, and learns how long items run. Used by
    `BatchRunner`.
    """

    def __init__(
        self,
        view: View,
        slots: SlotAllocator,
        attempts: AttemptRunner,
        metrics: ServingMetrics,
        clock: Clock,
        reporter: Reporter,
        zone: str = "",
    ) -> None:
        self._zone: str = zone
        self._view: View = view
        self._slots: SlotAllocator = slots
        self._attempts: AttemptRunner = attempts
        self._metrics: ServingMetrics = metrics
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        self._run_times = RunTimeEstimate()
        self._routes = RouteCache(view)
        self._sizes = RequestSizes()

    async def run(self, running: RunningItem) -> AttemptResult:
        """Wait for a slot and run an item there once."""
        job, index, progress = running.job, running.index, running.progress
        service = running.service
        due_s = self._clock.now_s() + (job.header.due_ms - self._clock.wall_ms()) / 1000
        due_s += postponement_s(progress.fruitless_attempts)
        item = job.items[index]
        regions = running.regions = self.find_regions(job, index)
        if regions is None:
            return AttemptResult(Outcome.RETRY, "route and team have no common region")
        self._discard_lost_version(service, progress, regions)
        needs_s = self._run_times.remaining_s(progress.ran_s)
        usage = self._usage(job, index)
        memory_tokens = self._memory_tokens(service)
        if exceeds_memory(usage, memory_tokens):
            self._metrics.count("memory_exceeded")
            self._reporter.write_limited(
                Event.MEMORY_EXCEEDED,
                request=item.id,
                service=service,
                tokens=usage.total,
                memory_tokens=memory_tokens,
            )
            # An accepted item is only given up by the endpoints' answers or by time.
            return AttemptResult(
                Outcome.RETRY, "larger than any memory", was_fruitless=True
            )
        terms = self._terms(job, index)
        route_name = self._route_name(job, index)
        slot_request = SlotRequest(
            Work.BATCH,
            due_s,
            due_s + MAX_SLOT_WAIT_S,
            needs_s,
            avoid=progress.endpoints_to_avoid(),
            version=progress.version,
            regions=regions,
            zone=self._zone,
            team=terms.team,
            priority=terms.priority,
            weight=terms.weight,
            tokens=self._sizes.needed_tokens(route_name, usage),
        )
        requested_s = self._clock.now_s()
        running.begin_wait(ItemWait.SLOT, requested_s)
        try:
            lease = await self._slots.acquire(service, slot_request)
        except SlotUnavailableError as exc:
            return AttemptResult(Outcome.RETRY, str(exc))
        started_s = self._clock.now_s()
        running.begin_wait(ItemWait.OUTPUT, started_s, lease.endpoint)
        first_id = progress.last_id
        current = asyncio.current_task()
        revoked = False

        def revoke() -> None:
            nonlocal revoked
            revoked = True
            attempt.cancel()

        attempt = asyncio.ensure_future(self._send(running, lease))
        lease.on_revoke = revoke
        try:
            result = await attempt
        except asyncio.CancelledError:
            attempt.cancel()
            if not revoked or current.cancelling():
                raise
            result = AttemptResult(Outcome.REVOKED)
            self._metrics.count("items_paused")
        else:
            lease.outcome = result.slot_outcome
        finally:
            self._slots.release(lease)
        ran_s = self._clock.now_s() - started_s
        had_output = progress.last_id > first_id
        progress.record_attempt(lease.endpoint, result, had_output, ran_s)
        if result.outcome is Outcome.DONE:
            self._run_times.record(progress.ran_s)
            self._sizes.record(route_name, usage, progress.last_id + 1)
        self._reporter.write(
            Event.ITEM_ATTEMPT_ENDED,
            job=job.header.id,
            item=item.id,
            endpoint=lease.endpoint,
            outcome=result.outcome.value,
            reason=result.reason,
            last_event=progress.last_id,
            slot_wait_ms=int((started_s - requested_s) * 1000),
            ran_ms=int(ran_s * 1000),
        )
        return result

    def is_outdated(self, running: RunningItem) -> bool:
        """Whether the configuration or the time does not allow the attempt any more for
        which an item requested a slot.
        """
        if self._view.configuration is None:
            return False
        job, index = running.job, running.index
        route = self._routes.find(job, index)
        if route is None or self._clock.wall_ms() >= job.header.give_up_ms:
            return True
        if not route.has_service(running.service):
            return True
        return running.regions != self.find_regions(job, index)

    def find_regions(self, job: Job, index: int) -> frozenset[str] | None:
        """Return the regions that an item may reach, see `allowed_regions`."""
        route = self._routes.find(job, index)
        if not route:
            return frozenset()
        teams = self._view.configuration.teams
        return allowed_regions(route, teams.get(job.header.team))

    def _terms(self, job: Job, index: int) -> SchedulingTerms:
        """Return the terms of an item by the current configuration."""
        configuration = self._view.configuration
        team = configuration.teams.get(job.header.team) if configuration else None
        return scheduling_terms(self._routes.find(job, index), team)

    def _route_name(self, job: Job, index: int) -> RouteName:
        route = self._routes.find(job, index)
        return route.name if route else RouteName("")

    def _usage(self, job: Job, index: int) -> TokenUsage:
        usage = self._attempts.token_usage(_headers_of(job, index))
        if usage.is_malformed:
            self._metrics.count("token_usage_malformed")
        return usage

    def _memory_tokens(self, service: ServiceName) -> int:
        configuration = self._view.configuration
        settings = configuration.services.get(service) if configuration else None
        return settings.memory_tokens if settings else 0

    def _discard_lost_version(
        self, service: ServiceName, progress: ItemProgress, regions: frozenset[str]
    ) -> None:
        """Discard output that no endpoint can go on with; the item runs anew."""
        serving = self._view.endpoints.serving
        if progress.last_id < 0 or not any(serving(service, "", regions)):
            return
        if progress.version and any(serving(service, progress.version, regions)):
            return
        progress.discard_output()

    async def _send(
        self,
        running: RunningItem,
        lease: SlotLease,
    ) -> AttemptResult:
        job, index, progress = running.job, running.index, running.progress
        item = job.items[index]
        needs = before_send(progress.version, lease.ticket.regions)
        endpoint = self._attempts.check_eligible(item.id, lease.endpoint, needs)
        if isinstance(endpoint, Ineligible):
            return AttemptResult(Outcome.RETRY, f"endpoint: {endpoint.value}")
        headers = _headers_of(job, index)
        remaining_ms = job.header.give_up_ms - self._clock.wall_ms()
        call = EngineCall(
            item.id,
            "POST",
            item.path,
            headers,
            item.body,
            job.header.team or None,
            max(1, min(ITEM_TIMEOUT_MS, remaining_ms)),
            progress.last_id if progress.last_id >= 0 else None,
            self._attempts.prompt_parts(headers),
            lease.ticket.regions,
        )
        last_id = progress.last_id
        timeout_s = progress.event_timeout_s()

        def record_events(count: int) -> None:
            now_s = self._clock.now_s()
            lease.use.record_events(count, now_s)
            running.begin_wait(ItemWait.OUTPUT, now_s, lease.endpoint)

        try:
            return await self._attempts.run(
                call,
                endpoint,
                timeout_s,
                lambda response: _read_output(
                    response,
                    progress,
                    endpoint.version,
                    timeout_s,
                    record_events,
                ),
                # An accepted item is owed, whatever ended while it ran.
                may_crash_endpoints=False,
                on_limit=partial(self._slots.record_limit, lease),
                use=lease.use,
            )
        except RequestNotRunError as exc:
            lease.path_check = exc.path_check
            slot_outcome = SlotOutcome.FAILED if exc.is_failure else SlotOutcome.UNKNOWN
            return AttemptResult(Outcome.RETRY, str(exc), slot_outcome)
        except AttemptFailedError as exc:
            lease.path_check = exc.path_check
            return AttemptResult(
                Outcome.RETRY,
                str(exc),
                SlotOutcome.FAILED if exc.is_failure else SlotOutcome.UNKNOWN,
                was_fruitless=exc.reset and progress.last_id == last_id,
                timed_out=exc.timed_out,
            )


def _headers_of(job: Job, index: int) -> HeaderList:
    """Return the headers of an item's request."""
    item = job.items[index]
    return [
        (b"host", job.header.host.encode()),
        *((n.lower().encode(), v.encode("latin-1")) for n, v in item.headers),
    ]


async def _read_output(
    response: EngineResponse,
    progress: ItemProgress,
    version: str,
    timeout_s: float = EVENT_TIMEOUT_S,
    on_events: Callable[[int], None] = lambda count: None,
) -> AttemptResult:
    """Read a response; only a failure of the endpoint's processing counts against
    the item."""
    if response.status == UNPROCESSABLE:
        return AttemptResult(Outcome.IMPOSSIBLE, "the endpoint cannot do it")
    if response.status == SERVER_ERROR:
        return AttemptResult(Outcome.FAILED, f"status {response.status}")
    if response.status != OK:
        return AttemptResult(Outcome.RETRY, f"status {response.status}")
    async for events in read_events(response, timeout_s, timeout_s):
        on_events(len(events))
        for event in events:
            progress.append_event(event, version)
    return AttemptResult(Outcome.DONE, slot_outcome=SlotOutcome.SUCCEEDED)
