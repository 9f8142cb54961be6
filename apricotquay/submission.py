"""Validates a job's lines for the threaded daemon and splits them. Pure: no I/O."""

import hashlib
from collections.abc import Iterator

import msgspec

from .document import Document, Route, RouteKind
from .errors import ErrorKind, RequestError
from .ids import JobId, RouteName, TeamId
from .records import ItemChunk

CHAT_URL = "/v1/chat/completions"
SERVICE_URL_PREFIX = "/services/"
MAX_ITEMS = 100_000
MAX_CHUNK_ITEMS = 500
MAX_CHUNK_BYTES = 256 * 1024


class ItemLine(msgspec.Struct):
    """One line of a job, in the format of batch clients."""

    custom_id: str
    url: str
    body: dict
    method: str = "POST"


class Submission(msgspec.Struct, frozen=True):
    """A validated job that is ready to be appended."""

    route: RouteName
    digest: str
    lines: list[bytes]


_LINE_DECODER = msgspec.json.Decoder(ItemLine)


def check_submission(document: Document, team: TeamId, data: bytes) -> Submission:
    """Validate a job's JSON lines; an error names the line and the field."""
    lines = [line for line in data.split(b"\n") if line.strip()]
    if not lines:
        raise _line_error(0, "the file holds no line", None)
    if len(lines) > MAX_ITEMS:
        raise _line_error(MAX_ITEMS + 1, f"more than {MAX_ITEMS} lines", None)
    route_name: RouteName | None = None
    custom_ids: set[str] = set()
    for number, line in enumerate(lines, start=1):
        item = _decode_line(number, line)
        if item.custom_id in custom_ids:
            raise _line_error(number, "custom_id is used twice", "custom_id")
        custom_ids.add(item.custom_id)
        name = route_of_item(item)
        if route_name is None:
            check_route(document, team, name, number)
            route_name = name
        elif name != route_name:
            raise _line_error(
                number, "all lines must name the same route", "body.model"
            )
    digest = hashlib.sha256(b"\n".join(lines)).hexdigest()[:16]
    return Submission(route_name, digest, lines)


def route_of_item(item: ItemLine) -> RouteName:
    """Return the name of an item's route."""
    if item.url.startswith(SERVICE_URL_PREFIX):
        return RouteName(item.url.split("/")[2])
    return RouteName(str(item.body.get("model", "")))


def check_route(
    document: Document, team: TeamId, name: RouteName, number: int
) -> Route:
    """Return the route of a line if the team may use it."""
    route = document.routes.get(name)
    if route is None:
        raise _line_error(number, f"no route is named {name!r}", "body.model")
    if route.teams is not None and team not in route.teams:
        raise _line_error(number, f"the route {name!r} is not the team's", "body.model")
    return route


def split_into_chunks(
    job: JobId, team: TeamId, submission: Submission
) -> Iterator[ItemChunk]:
    """Split a job into log records; the same lines always give the same chunks."""
    first = 0
    chunk: list[bytes] = []
    size = 0
    for line in submission.lines:
        is_full = len(chunk) >= MAX_CHUNK_ITEMS or size + len(line) > MAX_CHUNK_BYTES
        if chunk and is_full:
            yield ItemChunk(job, team, submission.digest, first, chunk)
            first += len(chunk)
            chunk, size = [], 0
        chunk.append(line)
        size += len(line)
    yield ItemChunk(job, team, submission.digest, first, chunk)


def _decode_line(number: int, line: bytes) -> ItemLine:
    try:
        item = _LINE_DECODER.decode(line)
    except msgspec.DecodeError as exc:
        raise _line_error(number, str(exc), None) from exc
    if item.method != "POST":
        raise _line_error(number, "method must be POST", "method")
    if item.url != CHAT_URL and not item.url.startswith(SERVICE_URL_PREFIX):
        raise _line_error(number, f"url {item.url!r} is not served in jobs", "url")
    if item.url == CHAT_URL and not isinstance(item.body.get("messages"), list):
        raise _line_error(number, "body.messages must be a list", "body.messages")
    return item


def _line_error(number: int, problem: str, field: str | None) -> RequestError:
    where = f"line[{number}].{field}" if field else f"line[{number}]"
    return RequestError(ErrorKind.BAD_REQUEST, f"line {number}: {problem}", param=where)


def is_service(route: Route) -> bool:
    """Whether a route's target is a service."""
    return route.kind is RouteKind.SERVICE
