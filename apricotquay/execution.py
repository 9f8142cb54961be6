"""Runs one batch item of the threaded daemon and reports its outcome."""

import contextlib
import uuid

import msgspec

from .clocks import Clock
from .document import Route, RouteKind
from .engineclient import EndpointError, EngineClient, StreamEnd, Token
from .environment import EnvironmentConfig
from .errors import Ran
from .fleet import Fleet
from .ids import EndpointId, JobId, MemberId, RequestId
from .membership import VmEntry
from .messages import ItemReport, WorkItem
from .poison import PoisonDetector
from .quarantine import QuarantineStatus, fingerprint_of
from .submission import SERVICE_URL_PREFIX, ItemLine

DEFAULT_MAX_TOKENS = 64

_LINE_DECODER = msgspec.json.Decoder(ItemLine)


class PausedError(Exception):
    """The item was paused for online requests."""


class StoppedError(Exception):
    """The item was cancelled or is no longer assigned to this runner."""


class RunningItem:
    """An item assigned to this runner, running or paused."""

    def __init__(self, item: WorkItem, holder: MemberId) -> None:
        self.item: WorkItem = item
        self.holder: MemberId = holder
        self.text: str = item.text
        self.tokens: int = item.tokens
        self.request_id: RequestId = RequestId(f"item-{uuid.uuid4().hex}")
        self.pause: bool = False
        self.stop: bool = False
        self.is_service: bool = False

    @property
    def key(self) -> tuple[JobId, int]:
        """The job and the item's index."""
        return self.item.job, self.item.index


class ItemExecutor:
    """Runs items on endpoints for the batch runner, in its threads.

    Raises PausedError or StoppedError when the item's flag is set.
    """

    def __init__(
        self,
        environment: EnvironmentConfig,
        fleet: Fleet,
        engines: EngineClient,
        poison: PoisonDetector,
        clock: Clock,
    ) -> None:
        self._environment: EnvironmentConfig = environment
        self._fleet: Fleet = fleet
        self._engines: EngineClient = engines
        self._poison: PoisonDetector = poison
        self._clock: Clock = clock

    def run(self, entry: VmEntry, running: RunningItem) -> ItemReport:
        line = _LINE_DECODER.decode(running.item.line)
        route = self._route_of(line)
        if route is None:
            return item_report(
                running, "failed", error_line(running, "route_unknown", "no route")
            )
        fingerprint = fingerprint_of(msgspec.json.encode(line.body, order="sorted"))
        if self._poison.status(fingerprint) is QuarantineStatus.QUARANTINED:
            body = error_line(
                running, "request_quarantined", "this request made endpoints fail"
            )
            return item_report(running, "failed", body)
        if route.kind is RouteKind.SERVICE:
            return self._run_service(entry, running, line, route)
        with self._isolate_suspect(entry, fingerprint) as may_run:
            if not may_run:
                return item_report(running, "", b"", ran="not_run")
            return self._run_chat(entry, running, line, route, fingerprint)

    def _run_chat(
        self,
        entry: VmEntry,
        running: RunningItem,
        line: ItemLine,
        route: Route,
        fingerprint: str,
    ) -> ItemReport:
        running.request_id = RequestId(f"item-{uuid.uuid4().hex}")
        body = {"max_tokens": DEFAULT_MAX_TOKENS, **line.body}
        stream = self._engines.stream(
            entry, running.request_id, route.target, body, running.tokens
        )
        try:
            with self._poison.track_running(EndpointId(entry.id), fingerprint):
                stream_end = self._read_response(stream, running)
        except EndpointError as exc:
            return self._handle_chat_failure(entry, running, fingerprint, exc)
        finally:
            stream.close()
        self._poison.record_completion(fingerprint)
        return item_report(
            running, "succeeded", _chat_line(running, line, route, stream_end)
        )

    def _read_response(self, stream, running: RunningItem) -> StreamEnd:
        for part in stream:
            if running.stop:
                raise StoppedError
            if isinstance(part, StreamEnd):
                return part
            if isinstance(part, Token):
                running.text += part.text
                running.tokens += 1
            if running.pause:
                raise PausedError
        raise EndpointError("the answer ended early", Ran.RAN, broken=True)

    def _handle_chat_failure(
        self,
        entry: VmEntry,
        running: RunningItem,
        fingerprint: str,
        exc: EndpointError,
    ) -> ItemReport:
        """Return a report that releases the item.

        Only failures that the item may have caused count as its failures. A crash
        of the endpoint counts against an item also while it is paused or stopped.
        """
        crashed = False
        if exc.ran is not Ran.NOT_RUN:
            crashed = self._poison.check_crash(entry, fingerprint)
        if running.stop:
            raise StoppedError
        if running.pause:
            raise PausedError
        with self._fleet.lock:
            endpoint = self._fleet.endpoints.get(EndpointId(entry.id))
            if endpoint is not None:
                self._fleet.endpoints.record_failure(
                    endpoint, self._clock.now_s(), exc.refused or crashed
                )
        ran = "not_run" if exc.ran is Ran.NOT_RUN and exc.status != 400 else "failed"
        if crashed:
            # The quarantine decides whether the item caused the crash.
            ran = "unknown"
        return item_report(
            running, "", error_line(running, "endpoint_failed", str(exc)), ran=ran
        )

    @contextlib.contextmanager
    def _isolate_suspect(self, entry: VmEntry, fingerprint: str):
        """Let a suspect run only on an endpoint that runs no other suspect."""
        if self._poison.status(fingerprint) is not QuarantineStatus.SUSPECT:
            yield True
            return
        with self._fleet.lock:
            endpoint = self._fleet.endpoints.get(EndpointId(entry.id))
            may_run = endpoint is not None and not endpoint.suspects
            if may_run:
                endpoint.suspects.add(fingerprint)
        try:
            yield may_run
        finally:
            if may_run:
                with self._fleet.lock:
                    endpoint.suspects.discard(fingerprint)

    def _run_service(
        self, entry: VmEntry, running: RunningItem, line: ItemLine, route: Route
    ) -> ItemReport:
        running.is_service = True
        if running.stop:
            raise StoppedError
        path = "/" + line.url.removeprefix(SERVICE_URL_PREFIX).partition("/")[2]
        try:
            service_response = self._engines.call_service(
                entry,
                running.request_id,
                "POST",
                path,
                {"content-type": "application/json"},
                msgspec.json.encode(line.body),
            )
        except EndpointError as exc:
            ran = exc.ran.value
            if route.idempotent and exc.ran is not Ran.NOT_RUN:
                ran = "failed"
            body = error_line(running, "endpoint_failed", str(exc))
            return item_report(running, "", body, ran=ran)
        text = service_response.body.decode(errors="replace")
        response = {"status_code": service_response.status, "body": text}
        outcome = "succeeded" if service_response.status < 400 else "failed"
        return item_report(
            running, outcome, _response_line(running, line.custom_id, response)
        )

    def _route_of(self, line: ItemLine) -> Route | None:
        current = self._environment.current
        if current is None:
            return None
        if line.url.startswith(SERVICE_URL_PREFIX):
            return current.document.routes.get(line.url.split("/")[2])
        return current.document.routes.get(line.body.get("model", ""))


def item_report(
    running: RunningItem, outcome: str, body: bytes, ran: str = "ran"
) -> ItemReport:
    """Return the report of an item, with its partial response."""
    item = running.item
    return ItemReport(
        item.resource,
        item.claim,
        item.job,
        item.index,
        item.attempt,
        outcome,
        body,
        running.text,
        running.tokens,
        ran,
    )


def _response_line(running: RunningItem, custom_id: str, response: dict) -> bytes:
    value = {
        "id": f"{running.item.job}-{running.item.index}",
        "custom_id": custom_id,
        "response": {"request_id": running.request_id, **response},
        "error": None,
    }
    return msgspec.json.encode(value)


def _chat_line(
    running: RunningItem, line: ItemLine, route: Route, stream_end: StreamEnd
) -> bytes:
    choice = {
        "index": 0,
        "message": {"role": "assistant", "content": running.text},
        "finish_reason": stream_end.finish_reason,
    }
    usage = {
        "prompt_tokens": stream_end.prompt_tokens,
        "completion_tokens": running.tokens,
        "total_tokens": stream_end.prompt_tokens + running.tokens,
    }
    body = {
        "id": running.request_id,
        "object": "chat.completion",
        "model": line.body["model"],
        "choices": [choice],
        "usage": usage,
    }
    return _response_line(running, line.custom_id, {"status_code": 200, "body": body})


def error_line(running: RunningItem, code: str, message: str) -> bytes:
    """Return the result line of a failed item."""
    try:
        custom_id = _LINE_DECODER.decode(running.item.line).custom_id
    except msgspec.DecodeError:
        custom_id = ""
    value = {
        "id": f"{running.item.job}-{running.item.index}",
        "custom_id": custom_id,
        "response": None,
        "error": {"code": code, "message": message},
    }
    return msgspec.json.encode(value)
