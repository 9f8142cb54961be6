"""Sends calls to endpoints: directly, or by way of a peer that reaches the endpoint."""

import asyncio
import contextlib
import random
from functools import partial

import msgspec

from ...clocks import Clock
from ...events import Event
from ...ids import EndpointId
from ..crashes.promptparts import PartKey
from ..endpoints import Endpoint
from ..engine import (
    DirectEngineClient,
    EndpointUnreachableError,
    EngineCall,
    EngineResponse,
    Reachability,
    RequestNotRunError,
)
from ..http.http1 import HeaderList
from ..metrics import ServingMetrics
from ..reporting import Reporter
from ..slots.memory import TokenUsage
from ..tasks import start_task
from .paths import PathTable
from .peerchecks import PeerChecks, PeerFindings
from .relayclient import RelayClient, RelayedResponse, RelayOutsideError
from .relaypool import RelayPool
from .view import View

PROBE_INTERVAL_S = 0.5
MAX_RELAYS_PER_SEND = 3
# With fewer relays known, daemons that peers named are asked too.
MIN_RELAYS = 8
# A sound endpoint accepts a connection within this time.
PATH_CHECK_S = 0.15
# A peer that reaches the endpoint answers within this time; a request waits for it.
QUICK_ANSWER_S = 0.08
# A relay that sent nothing for so long is chosen last for a while.
SILENT_RELAY_S = 0.1


class RoutedEngineClient:
    """Implements `EngineClient`. One per daemon.

    When a connection to an endpoint fails, peers are asked whether they reach it. If
    one does, it makes the attempt, and those that follow until a probe finds that
    the link has returned.
    """

    def __init__(
        self,
        direct: DirectEngineClient,
        checks: PeerChecks,
        relays: RelayClient,
        view: View,
        metrics: ServingMetrics,
        clock: Clock,
        reporter: Reporter,
    ) -> None:
        self.paths = PathTable()
        self._pool = RelayPool()
        self._direct: DirectEngineClient = direct
        self._checks: PeerChecks = checks
        self._relays: RelayClient = relays
        self._view: View = view
        self._metrics: ServingMetrics = metrics
        self._clock: Clock = clock
        self._reporter: Reporter = reporter
        # Questions to peers that run, which all who need the answer share.
        self._questions: dict[EndpointId, asyncio.Task[PeerFindings]] = {}
        self._has_lost_paths = asyncio.Event()
        self._prober: asyncio.Task | None = None
        checks.is_lost = self.paths.is_lost
        checks.on_reached = self._handle_reached

    def start(self) -> None:
        """Start to probe endpoints that are out of reach."""
        self._prober = start_task("probe", self._probe_loop, self._reporter)

    async def close(self) -> None:
        """Stop."""
        if self._prober is not None:
            self._prober.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._prober

    async def send(self, call: EngineCall, endpoint: Endpoint) -> EngineResponse:
        """Send a call and return its response, whose head has been checked."""
        started_s = self._clock.now_s()
        if not self.is_out_of_reach(endpoint):
            try:
                return await self.send_directly(call, endpoint)
            except EndpointUnreachableError as exc:
                question = self._ask_peers(endpoint, str(exc))
                await asyncio.wait([question], timeout=QUICK_ANSWER_S)
                if not question.done():
                    exc.path_check = asyncio.ensure_future(_is_reached(question))
                    raise
                if not question.result().reached_by:
                    raise
        return await self._relay(call, endpoint, started_s)

    async def send_directly(
        self, call: EngineCall, endpoint: Endpoint
    ) -> EngineResponse:
        """Send a call over a connection of this VM."""
        try:
            response = await self._direct.send(call, endpoint)
        except EndpointUnreachableError:
            self._metrics.count("connects_failed")
            raise
        self.paths.record_reached(self._clock.now_s())
        return response

    def prompt_parts(self, headers: HeaderList) -> list[PartKey]:
        """Return the parts of a request's prompt that other requests may share."""
        return self._direct.prompt_parts(headers)

    def token_usage(self, headers: HeaderList) -> TokenUsage:
        """Return the size that a caller states of a request."""
        return self._direct.token_usage(headers)

    def is_out_of_reach(self, endpoint: Endpoint) -> bool:
        """Whether this VM is known not to reach an endpoint that a peer reaches."""
        return self.paths.is_lost(endpoint.id)

    async def has_lost_path(self, endpoint: Endpoint) -> bool:
        """Whether a peer reaches an endpoint that this VM does not reach."""
        if self.is_out_of_reach(endpoint):
            return True
        probe = asyncio.ensure_future(self._checks.probe(endpoint))
        await asyncio.wait([probe], timeout=PATH_CHECK_S)
        if probe.done() and probe.result() is Reachability.REACHED:
            self.paths.record_reached(self._clock.now_s())
            return False
        probe.cancel()
        return await _is_reached(self._ask_peers(endpoint, "an attempt broke off"))

    async def is_known_to_be_reached(self, endpoint: Endpoint, reason: str) -> bool:
        """Whether a peer says at once that it reaches an endpoint that this VM failed
        to reach.
        """
        question = self._ask_peers(endpoint, reason)
        await asyncio.wait([question], timeout=QUICK_ANSWER_S)
        return question.done() and bool(question.result().reached_by)

    async def refuses_connections(self, endpoint: Endpoint) -> bool:
        """Whether nothing listens at the endpoint's address.

        Peers must find the same as far as any can tell: connections that this VM
        alone cannot open prove nothing.
        """
        if not self.is_out_of_reach(endpoint):
            if await self._checks.probe(endpoint) is not Reachability.REFUSED:
                return False
        findings = await asyncio.shield(self._ask_peers(endpoint, "refused"))
        if findings.reached_by or findings.refused_count:
            return not findings.reached_by
        return not self.is_out_of_reach(endpoint)

    async def _relay(
        self, call: EngineCall, endpoint: Endpoint, started_s: float
    ) -> EngineResponse:
        """Send a call by way of a peer; over this VM's own links if no peer can."""
        tried: set[str] = set()
        outside: set[str] = set()
        error: RequestNotRunError | None = None
        while len(tried - outside) < MAX_RELAYS_PER_SEND:
            address = await self._choose_relay(endpoint, tried)
            if address is None:
                break
            tried.add(address)
            try:
                return await self._send_by(
                    address, self._with_time_left(call, started_s), endpoint
                )
            except RelayOutsideError:
                outside.add(address)
            except RequestNotRunError as exc:
                if exc.is_path_failure:
                    self._pool.record_failed(address, self._clock.now_s())
                elif not exc.unreachable:
                    raise
                error = exc
        if error is not None:
            raise error
        try:
            return await self.send_directly(
                self._with_time_left(call, started_s), endpoint
            )
        except EndpointUnreachableError as exc:
            exc.is_path_failure = True
            raise

    async def _choose_relay(self, endpoint: Endpoint, tried: set[str]) -> str | None:
        address = self._choose_known_relay(tried)
        if address is None:
            await self.is_known_to_be_reached(endpoint, "no relay is known")
            address = self._choose_known_relay(tried)
        return address

    def _choose_known_relay(self, tried: set[str]) -> str | None:
        now_s = self._clock.now_s()
        return self._pool.choose(tried, self._relays.running, now_s)

    async def _send_by(
        self, address: str, call: EngineCall, endpoint: Endpoint
    ) -> RelayedResponse:
        self._metrics.count("attempts_relayed")
        self._reporter.write(
            Event.ATTEMPT_RELAYED,
            request=call.request_id,
            endpoint=endpoint.id,
            relay=address,
            resumed_after=call.resume_after,
        )
        response = await self._relays.send(
            address, call, endpoint, partial(self._handle_abandoned, address)
        )
        self._pool.record_reached(address, self._clock.now_s())
        self._record_lost(endpoint)
        return response

    def _handle_abandoned(self, address: str, silence_s: float) -> None:
        """Handle the end of an attempt that this daemon gave up."""
        if silence_s > SILENT_RELAY_S:
            self._pool.record_silent(address, self._clock.now_s())

    def _with_time_left(self, call: EngineCall, started_s: float) -> EngineCall:
        spent_ms = int((self._clock.now_s() - started_s) * 1000)
        timeout_ms = max(1, call.timeout_ms - spent_ms)
        return msgspec.structs.replace(call, timeout_ms=timeout_ms)

    def _ask_peers(self, endpoint: Endpoint, reason: str) -> asyncio.Task[PeerFindings]:
        """Ask peers about an endpoint that this VM does not reach."""
        question = self._questions.get(endpoint.id)
        if question is None:
            question = asyncio.ensure_future(self._find_out(endpoint, reason))
            self._questions[endpoint.id] = question
            question.add_done_callback(lambda _: self._questions.pop(endpoint.id, None))
        return question

    async def _find_out(self, endpoint: Endpoint, reason: str) -> PeerFindings:
        was_lost = self.paths.is_lost(endpoint.id)
        findings = await self._checks.ask(endpoint)
        is_reached = bool(findings.reached_by)
        if not is_reached or not was_lost:
            self._reporter.write_limited(
                Event.PATH_LOST if is_reached else Event.ENDPOINT_OUT_OF_REACH,
                endpoint=endpoint.id,
                reason=reason,
                reached_by=findings.reached_by,
                refused=findings.refused_count,
                silent=findings.silent_count,
            )
        return findings

    def _handle_reached(self, address: str, endpoint: Endpoint) -> None:
        """Handle a peer's finding that it reaches what this VM did not reach."""
        self._pool.record_reached(address, self._clock.now_s())
        self._record_lost(endpoint)

    def _record_lost(self, endpoint: Endpoint) -> None:
        self._has_lost_paths.set()
        self.paths.record_lost(endpoint.id, self._clock.now_s())

    async def _probe_loop(self) -> None:
        """Find out without callers' requests when links have returned."""
        while True:
            await self._has_lost_paths.wait()
            await asyncio.sleep(PROBE_INTERVAL_S * random.uniform(0.8, 1.2))
            listed = {endpoint.id for endpoint in self._view.endpoints.all()}
            probed = [
                self._view.endpoints.get(endpoint_id)
                for endpoint_id in self.paths.next_probes(listed)
            ]
            self._look_for_relays(probed)
            await asyncio.gather(*(self._probe(endpoint) for endpoint in probed))
            if not self.paths.lost_count:
                self._has_lost_paths.clear()

    def _look_for_relays(self, lost: list[Endpoint]) -> None:
        """Ask further daemons, so that few peers don't carry all relayed requests."""
        few = self._pool.usable_count(self._clock.now_s()) < MIN_RELAYS
        if lost and few and self._checks.has_unasked:
            self._ask_peers(lost[0], "few relays are known")

    async def _probe(self, endpoint: Endpoint) -> None:
        is_reached = await self._checks.probe(endpoint) is Reachability.REACHED
        now_s = self._clock.now_s()
        if self.paths.record_probe(endpoint.id, is_reached, now_s):
            self._reporter.write(Event.PATH_RETURNED, endpoint=endpoint.id)


async def _is_reached(question: asyncio.Task[PeerFindings]) -> bool:
    """Wait for the answers of peers; return whether one reaches the endpoint."""
    return bool((await asyncio.shield(question)).reached_by)
