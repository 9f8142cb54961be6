"""Acquires the slots of online requests, and of those that go on elsewhere."""

import asyncio
from functools import partial

import msgspec

from ...clocks import Clock
from ...errors import ErrorKind, Ran, RequestError
from ..catalog import ServiceName
from ..fleet.view import View
from ..reporting import Reporter
from ..slots.allocator import SlotAllocator
from ..slots.slotrequests import SlotLease, SlotRequest, SlotUnavailableError
from .admission import MIN_RETRY_AFTER_MS
from .handover import Handover
from .requests import RequestProgress

# A request that may have run asks for a slot again so long after none could be had.
SLOT_RETRY_DELAY_S = 0.2


class SlotWaits:
    """Waits for slots; raises RequestError when none comes in time. Used by
    `OnlineRequestHandler`.
    """

    def __init__(
        self, slots: SlotAllocator, view: View, clock: Clock, reporter: Reporter
    ) -> None:
        self._slots: SlotAllocator = slots
        self._view: View = view
        self._clock: Clock = clock
        self._reporter: Reporter = reporter

    def build_handover(
        self,
        lease: SlotLease,
        slot_request: SlotRequest,
        progress: RequestProgress,
        deadline_s: float,
    ) -> Handover:
        """Return the handover of an attempt to an endpoint that did not fail yet."""
        slot_request = msgspec.structs.replace(
            slot_request, slot_deadline_s=deadline_s, holds_slot=True
        )
        return Handover(
            partial(self._acquire_elsewhere, lease, slot_request, progress),
            self._slots.release,
            self._reporter,
        )

    async def _acquire_elsewhere(
        self, silent: SlotLease, slot_request: SlotRequest, progress: RequestProgress
    ) -> SlotLease:
        """Acquire a slot outside the silent endpoint, at one that did not fail before
        if there is one.
        """
        slot_request = msgspec.structs.replace(slot_request, version=progress.version)
        while True:
            lease = await self._try_acquire_elsewhere(silent, slot_request)
            if lease is not None:
                return lease
            await asyncio.sleep(SLOT_RETRY_DELAY_S)

    async def _try_acquire_elsewhere(
        self, silent: SlotLease, slot_request: SlotRequest
    ) -> SlotLease | None:
        serving = self._view.endpoints.serving(
            silent.service, slot_request.version, slot_request.regions
        )
        listed = {e.id for e in serving}
        others = listed - {silent.endpoint}
        if not others:
            return None
        avoid = frozenset({silent.endpoint})
        if others - slot_request.avoid:
            avoid |= slot_request.avoid
        slot_request = msgspec.structs.replace(slot_request, avoid=avoid)
        try:
            lease = await self._slots.acquire(silent.service, slot_request)
        except SlotUnavailableError:
            return None
        if lease.endpoint in avoid:
            self._slots.release(lease)
            return None
        return lease

    async def acquire(
        self, service: ServiceName, slot_request: SlotRequest, progress: RequestProgress
    ) -> SlotLease:
        requested_s = self._clock.now_s()
        lease = await self._wait_for_slot(service, slot_request, progress)
        progress.slot_granted_by = lease.owner or "own table"
        progress.slot_wait_ms = int((self._clock.now_s() - requested_s) * 1000)
        return lease

    def _check_listed(
        self,
        service: ServiceName,
        slot_request: SlotRequest,
        progress: RequestProgress,
    ) -> None:
        """Raise RequestError if no endpoint can serve the request."""
        serving = self._view.endpoints.serving
        version, regions = slot_request.version, slot_request.regions
        is_listed = any(True for _ in serving(service, version, regions))
        others_are_listed = any(True for _ in serving(service, "", regions))
        if not is_listed and others_are_listed and progress.may_have_run:
            raise RequestError(
                ErrorKind.ENDPOINT_FAILED,
                f"no endpoint of version {version} is left",
                ran=Ran.UNKNOWN,
            )
        if not is_listed and not progress.may_have_run:
            where = f" in {' or '.join(sorted(regions))}" if regions else ""
            raise RequestError(
                ErrorKind.ENDPOINT_MISSING, f"no endpoint is listed{where}"
            )

    async def _wait_for_slot(
        self, service: ServiceName, slot_request: SlotRequest, progress: RequestProgress
    ) -> SlotLease:
        while True:
            self._check_listed(service, slot_request, progress)
            try:
                return await self._slots.acquire(service, slot_request)
            except SlotUnavailableError as exc:
                if not progress.may_have_run:
                    raise RequestError(
                        ErrorKind.DEADLINE_UNREACHABLE,
                        "no slot can be had in time",
                        retry_after_ms=max(MIN_RETRY_AFTER_MS, int(exc.wait_s * 1000)),
                    ) from exc
            # The wait was only estimated, and the request cannot be refused any more.
            await asyncio.sleep(SLOT_RETRY_DELAY_S)
