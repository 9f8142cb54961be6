"""Searches a caller's request for its key outside the header meant for it. Pure.

All other parts of a request may be forwarded to an endpoint, stored or logged.
"""

import urllib.parse
from collections.abc import Iterator

from .http1 import HttpRequest

# A shorter key would be found in requests by chance.
MIN_KEY_LENGTH = 8


def holds_key(request: HttpRequest, key: str, key_header: bytes) -> bool:
    """Whether a request has its key, plain or percent-encoded, in another place."""
    return any(contains_key(part, key) for part in _parts(request, key_header))


def contains_key(data: bytes, key: str) -> bool:
    """Whether the key stands in some bytes, plain or percent-encoded."""
    if len(key) < MIN_KEY_LENGTH:
        return False
    wanted = key.encode("latin-1", "replace").lower()
    if wanted in data.lower():
        return True
    return b"%" in data and wanted in urllib.parse.unquote_to_bytes(data).lower()


def _parts(request: HttpRequest, key_header: bytes) -> Iterator[bytes]:
    yield request.method.encode()
    yield request.target.encode("utf-8", "surrogateescape")
    for name, value in request.headers:
        yield name
        if name != key_header:
            yield value
    yield request.body
