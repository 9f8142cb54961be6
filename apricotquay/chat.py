"""HTTP handlers of the threaded daemon for online requests.

They serve chat completions and plain services.
"""

import itertools
import json
import time
import uuid
from collections.abc import Iterator

import msgspec

from .access import AccessControl, Caller, check_key_absent
from .clocks import Clock
from .document import Route, RouteKind
from .engineclient import FORWARDED_HEADERS, StreamEnd, Token
from .errors import ErrorKind, RequestError
from .ids import RequestId, RouteName
from .online import OnlineRequest, OnlineRequestHandler
from .quarantine import fingerprint_of
from .settings import Settings
from .web import HttpRequest, HttpResponse, json_response

CHARS_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 64
MAX_TOKENS = 16_384
REQUEST_ID_HEADER = "X-Request-Id"
SERVICE_COST_TOKENS = 16.0


class ChatHandlers:
    """Handles chat completions, the list of models and calls of services."""

    def __init__(
        self,
        settings: Settings,
        access: AccessControl,
        online: OnlineRequestHandler,
        clock: Clock,
    ) -> None:
        self._settings: Settings = settings
        self._access: AccessControl = access
        self._online: OnlineRequestHandler = online
        self._clock: Clock = clock

    def models(self, http: HttpRequest) -> HttpResponse:
        """Handle GET /v1/models: the model routes that the caller may use."""
        caller = self._access.authenticate(http)
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "apricotquay"}
            for name, route in caller.configuration.document.routes.items()
            if route.kind is RouteKind.MODEL
            and (route.teams is None or caller.team in route.teams)
        ]
        return json_response({"object": "list", "data": data})

    def chat(self, http: HttpRequest) -> HttpResponse:
        """Handle POST /v1/chat/completions."""
        arrived_s = self._clock.now_s()
        raw = http.read_body(self._settings.max_online_body_bytes)
        body = _decode_chat(raw)
        name = RouteName(body["model"])
        caller, route = self._access.authorize(http, name, RouteKind.MODEL)
        check_key_absent(caller, raw)
        deadline_s = self._access.parse_deadline(http)
        request = self._create_request(caller, name, route, body, arrived_s, deadline_s)
        self._online.admit(request)
        parts = self._online.stream(request)
        if body.get("stream"):
            return self._create_stream_response(request, parts)
        return _collect_response(request, parts)

    def service(self, http: HttpRequest) -> HttpResponse:
        """Handle a call of a plain service, /services/ROUTE/PATH."""
        arrived_s = self._clock.now_s()
        name = RouteName(http.match["route"])
        caller, route = self._access.authorize(http, name, RouteKind.SERVICE)
        body = http.read_body(self._settings.max_online_body_bytes)
        path = "/" + (http.match["path"] or "")
        if http.query_string:
            path += f"?{http.query_string}"
        check_key_absent(caller, body, path)
        deadline_s = self._access.parse_deadline(http)
        request = self._create_request(caller, name, route, {}, arrived_s, deadline_s)
        request.fingerprint = fingerprint_of(path.encode() + body)
        self._online.admit(request)
        headers = {h: http.header(h) for h in FORWARDED_HEADERS if http.header(h)}
        response = self._online.call_service(request, http.method, path, headers, body)
        return HttpResponse(
            response.status,
            response.body,
            [("Content-Type", response.content_type), (REQUEST_ID_HEADER, request.id)],
        )

    def _create_request(
        self,
        caller: Caller,
        name: RouteName,
        route: Route,
        body: dict,
        arrived_s: float,
        deadline_s: float,
    ) -> OnlineRequest:
        prompt = "\n".join(str(m.get("content", "")) for m in body.get("messages", ()))
        max_tokens = body.get("max_tokens", DEFAULT_MAX_TOKENS)
        cost = (
            len(prompt) / CHARS_PER_TOKEN + max_tokens if body else SERVICE_COST_TOKENS
        )
        fingerprinted = {k: v for k, v in body.items() if k != "stream"}
        return OnlineRequest(
            id=RequestId(f"req-{uuid.uuid4().hex}"),
            team=caller.team,
            key_hash=caller.key_hash,
            route_name=name,
            route=route,
            weight=caller.configuration.document.teams[caller.team].weight,
            body=body,
            fingerprint=fingerprint_of(
                msgspec.json.encode(fingerprinted, order="sorted")
            ),
            prefix=prompt[: route.affinity_prefix_chars],
            cost=cost,
            arrived_s=arrived_s,
            deadline_s=deadline_s,
        )

    def _create_stream_response(
        self, request: OnlineRequest, parts: Iterator[Token | StreamEnd]
    ) -> HttpResponse:
        # Waits for the first token, so that an earlier error has its own status code.
        first = next(parts)
        headers = [
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-store"),
            (REQUEST_ID_HEADER, request.id),
        ]
        return HttpResponse(200, _encode_stream(request, first, parts), headers)


def _decode_chat(raw: bytes) -> dict:
    """Decode and check a chat request; the error names the field."""
    try:
        body = msgspec.json.decode(raw)
    except msgspec.DecodeError as exc:
        raise RequestError(
            ErrorKind.BAD_REQUEST, f"the body is not valid JSON: {exc}", param="body"
        ) from exc
    if not isinstance(body, dict):
        raise _bad_field("body", "must be a JSON object")
    if not isinstance(body.get("model"), str):
        raise _bad_field("model", "must be a string")
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _bad_field("messages", "must be a list that is not empty")
    for i, message in enumerate(messages):
        if not isinstance(message, dict) or "content" not in message:
            raise _bad_field(f"messages[{i}]", "must be an object with content")
    _check_max_tokens(body)
    return body


def _check_max_tokens(body: dict) -> None:
    limit = body.pop("max_completion_tokens", None)
    if limit is None:
        limit = body.get("max_tokens")
    if limit is None:
        limit = DEFAULT_MAX_TOKENS
    if type(limit) is not int or not 1 <= limit <= MAX_TOKENS:
        raise _bad_field("max_tokens", f"must be a whole number from 1 to {MAX_TOKENS}")
    body["max_tokens"] = limit


def _bad_field(field: str, problem: str) -> RequestError:
    return RequestError(ErrorKind.BAD_REQUEST, f"{field} {problem}", param=field)


def _collect_response(
    request: OnlineRequest, parts: Iterator[Token | StreamEnd]
) -> HttpResponse:
    texts = []
    end = None
    for part in parts:
        if isinstance(part, Token):
            texts.append(part.text)
        else:
            end = part
    value = {
        "id": request.id,
        "object": "chat.completion",
        "created": int(time.time()),
        "model": request.route_name,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": "".join(texts)},
                "finish_reason": end.finish_reason,
            }
        ],
        "usage": _encode_usage(end),
    }
    response = json_response(value)
    response.headers.append((REQUEST_ID_HEADER, request.id))
    return response


def _encode_stream(
    request: OnlineRequest, first: Token | StreamEnd, rest: Iterator[Token | StreamEnd]
) -> Iterator[bytes]:
    """Yield server-sent events; an error after the first token is the last event."""
    created = int(time.time())
    try:
        for part in itertools.chain([first], rest):
            yield _encode_event(request, created, part)
        yield b"data: [DONE]\n\n"
    except RequestError as exc:
        yield b"data: " + json.dumps(exc.body()).encode() + b"\n\n"
    finally:
        rest.close()


def _encode_event(
    request: OnlineRequest, created: int, part: Token | StreamEnd
) -> bytes:
    if isinstance(part, Token):
        choice = {"index": 0, "delta": {"content": part.text}, "finish_reason": None}
    else:
        choice = {"index": 0, "delta": {}, "finish_reason": part.finish_reason}
    value = {
        "id": request.id,
        "object": "chat.completion.chunk",
        "created": created,
        "model": request.route_name,
        "choices": [choice],
    }
    if isinstance(part, StreamEnd):
        value["usage"] = _encode_usage(part)
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def _encode_usage(end: StreamEnd) -> dict[str, int]:
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.completion_tokens,
        "total_tokens": end.prompt_tokens + end.completion_tokens,
    }
