"""Asks other daemons whether they reach an endpoint that this one does not reach."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from ...errors import PeerUnavailableError
from ...ids import EndpointId
from ..endpoints import Endpoint
from ..engine import DirectEngineClient, Reachability
from ..messages import CheckEndpoint, EndpointChecked, Message
from .peers import Feature, Peers
from .shards import Shards
from .view import View

# A peer that probes may notice a refused connection late.
CHECK_TIMEOUT_S = 0.6
# Of the owners of shards, and as many of the daemons that peers named.
MAX_PEERS_ASKED = 8
MAX_PEERS_NAMED = 8
MAX_NAMED_KNOWN = 64


class PeerFindings(msgspec.Struct, frozen=True):
    """What peers found at an endpoint: those that reached it, and how many were
    refused or got no answer.
    """

    reached_by: list[str] = []
    refused_count: int = 0
    silent_count: int = 0


class PeerChecks:
    """Asks peers for their findings, and answers such questions. One per daemon.

    A peer that is out of reach of an endpoint itself, as `is_lost` tells, has no
    finding.
    """

    def __init__(
        self, direct: DirectEngineClient, view: View, shards: Shards, peers: Peers
    ) -> None:
        self.is_lost: Callable[[EndpointId], bool] = lambda endpoint: False
        # Called with each peer that reached an endpoint, also those that answer late.
        self.on_reached: Callable[[str, Endpoint], None] = lambda address, endpoint: (
            None
        )
        self._direct: DirectEngineClient = direct
        self._view: View = view
        self._shards: Shards = shards
        self._peers: Peers = peers
        self._running: set[asyncio.Task] = set()
        # Daemons that peers have named and that were not asked yet.
        self._named: set[str] = set()
        # Probes that run, which all who ask meanwhile share.
        self._probes: dict[EndpointId, asyncio.Task] = {}

    @property
    def has_unasked(self) -> bool:
        """Whether peers have named daemons that were not asked yet."""
        return bool(self._named)

    async def ask(self, endpoint: Endpoint) -> PeerFindings:
        """Ask several peers; return once one reached the endpoint, or all answered."""
        asked = self._choose_peers()
        calls = {
            asyncio.ensure_future(self._ask_peer(address, endpoint)): address
            for address in asked
        }
        pending = set(calls)
        # Calls end by themselves within their own time limit.
        while pending and not _reached_by(calls):
            _, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
        self._running.update(pending)
        for call in pending:
            call.add_done_callback(self._running.discard)
        return _summarize(calls)

    def _choose_peers(self) -> list[str]:
        """Return owners of shards, which every daemon knows, and daemons they named."""
        owners = self._shards.addresses()
        chosen = random.sample(owners, min(MAX_PEERS_ASKED, len(owners)))
        named = sorted(self._named)
        chosen_named = random.sample(named, min(MAX_PEERS_ASKED, len(named)))
        self._named.difference_update(chosen_named)
        return chosen + chosen_named

    async def handle_check_endpoint(self, message: CheckEndpoint) -> Message:
        """Return what this daemon finds at an endpoint for a peer."""
        connected = self._peers.accepted_addresses()
        named = random.sample(connected, min(MAX_PEERS_NAMED, len(connected)))
        endpoint = self._view.endpoints.get(EndpointId(message.endpoint))
        if endpoint is None or endpoint.started_ms != message.started_ms:
            return EndpointChecked(None, named)
        if self.is_lost(endpoint.id):
            return EndpointChecked(None, named)
        return EndpointChecked(await self.probe(endpoint), named)

    async def probe(self, endpoint: Endpoint) -> Reachability:
        """Try a connection to an endpoint; probes at the same time are one."""
        task = self._probes.get(endpoint.id)
        if task is None:
            task = asyncio.ensure_future(self._direct.probe(endpoint))
            self._probes[endpoint.id] = task
            task.add_done_callback(lambda _: self._probes.pop(endpoint.id, None))
        return await asyncio.shield(task)

    async def _ask_peer(self, address: str, endpoint: Endpoint) -> Reachability | None:
        question = CheckEndpoint(endpoint.id, endpoint.started_ms)
        try:
            connection = await self._peers.connect(address)
            if not connection.supports(Feature.RELAY):
                return None
            reply = await connection.call(question, CHECK_TIMEOUT_S)
        except PeerUnavailableError:
            # Peers logs the failure; others are asked too.
            return None
        if not isinstance(reply, EndpointChecked):
            return None
        self._remember_named(reply.peers)
        if reply.reachability is Reachability.REACHED:
            self.on_reached(address, endpoint)
        return reply.reachability

    def _remember_named(self, addresses: list[str]) -> None:
        known = {*self._shards.addresses(), self._shards.address}
        room = MAX_NAMED_KNOWN - len(self._named)
        self._named.update([a for a in addresses if a not in known][:room])


def _finding(call: asyncio.Task) -> Reachability | None:
    if not call.done() or call.cancelled() or call.exception() is not None:
        return None
    return call.result()


def _reached_by(calls: dict[asyncio.Task, str]) -> list[str]:
    return [
        address
        for call, address in calls.items()
        if _finding(call) is Reachability.REACHED
    ]


def _summarize(calls: dict[asyncio.Task, str]) -> PeerFindings:
    findings = [_finding(call) for call in calls]
    return PeerFindings(
        _reached_by(calls),
        findings.count(Reachability.REFUSED),
        findings.count(Reachability.SILENT),
    )
