"""Lines of the values of a JSON text, which the decoder does not report.

Used by the check of a configuration, on texts that the decoder has accepted.
"""

import re
from collections.abc import Iterator

import msgspec

from .configfindings import DocumentPath

_TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[{}\[\]:,]|[^\s{}\[\]:,"]+', re.DOTALL)


class Position(msgspec.Struct, frozen=True):
    """Where a value begins; a member of an object begins at its name."""

    path: DocumentPath
    line: int
    # Line of an earlier member of the same object with this name, else 0.
    earlier_line: int = 0


class _Container(msgspec.Struct):
    """An object or list that has not ended yet."""

    path: DocumentPath
    # Lines of an object's members by name; None for a list.
    members: dict[str, int] | None
    index: int = 0
    # Name of the member whose value follows.
    name: str | None = None


def find_positions(text: str) -> Iterator[Position]:
    """Yield the position of each member and list entry of a valid JSON text."""
    stack: list[_Container] = []
    for token, line in _split_tokens(text):
        if token in "]}":
            stack.pop()
        elif token == ",":
            _advance(stack[-1])
        elif token != ":":
            yield from _read_token(stack, token, line)


def _split_tokens(text: str) -> Iterator[tuple[str, int]]:
    line = 1
    counted_to = 0
    for match in _TOKEN.finditer(text):
        line += text.count("\n", counted_to, match.start())
        counted_to = match.start()
        yield match.group(), line


def _advance(container: _Container) -> None:
    container.index += 1
    container.name = None


def _read_token(stack: list[_Container], token: str, line: int) -> Iterator[Position]:
    container = stack[-1] if stack else None
    if container and container.members is not None and container.name is None:
        container.name = msgspec.json.decode(token.encode(), type=str)
        earlier_line = container.members.get(container.name, 0)
        container.members[container.name] = line
        yield Position((*container.path, container.name), line, earlier_line)
        return
    path = _value_path(container)
    if container and container.members is None:
        yield Position(path, line)
    if token in "[{":
        stack.append(_Container(path, {} if token == "{" else None))


def _value_path(container: _Container | None) -> DocumentPath:
    if container is None:
        return ()
    if container.members is None:
        return (*container.path, container.index)
    return (*container.path, container.name or "")
