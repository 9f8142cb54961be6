"""The project's store stand-in with the sizes of answers that the users' pages set.

    store2.py HOST PORT

`log-newest` answers in pages of at most 500 records or 1 MB, in the order of keys, and
`log-read` with at most `max_kb` of records.
"""

import asyncio
import base64
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from apricotquay.platform.store import encode_record  # noqa: E402
from apricotquay.serving.fleet.keyedlog import (  # noqa: E402
    LogExpiredError,
    Page,
    Topic,
)
from apricotquay.serving.http.http1 import HttpResponse  # noqa: E402
from standins.platform import StoreServer, _json_response, struct  # noqa: E402

MAX_PAGE_RECORDS = 500
MAX_PAGE_BYTES = 1_000_000
DEFAULT_READ_KB = 1_024


class PagedStoreServer(StoreServer):
    """Answers in pages."""

    async def _read_newest(self, fields: dict, _body: bytes) -> HttpResponse:
        page = await self.log.read_newest(Topic(fields["topic"]), int(fields["part"]))
        after = fields.get("after", "").encode()
        records = sorted(
            (r for r in page.records if r.key > after), key=lambda r: r.key
        )
        items = []
        size = 0
        for record in records:
            value = base64.b64encode(record.value).decode()
            size += len(value) + len(record.key)
            if items and (size > MAX_PAGE_BYTES or len(items) >= MAX_PAGE_RECORDS):
                break
            items.append(
                {"key": record.key.decode(), "value": value, "offset": record.offset}
            )
        more = len(items) < len(records)
        return _json_response(200, {"items": items, "more": more, "end": page.end})

    async def _read(self, fields: dict, _body: bytes) -> HttpResponse:
        start = int(fields["from"])
        topic, part = Topic(fields["topic"]), int(fields["part"])
        try:
            page = await self.log.read(
                topic, part, start, int(fields.get("wait_ms", 0))
            )
        except LogExpiredError as exc:
            return _json_response(410, {"first": exc.first_offset})
        data = struct.pack(">QQ", page.end, 0)
        limit = int(fields.get("max_kb", DEFAULT_READ_KB)) * 1024
        return HttpResponse(200, [], data + _encode_up_to(page, limit))


def _encode_up_to(page: Page, limit: int) -> bytes:
    """Return the first records that fit, at least one."""
    parts: list[bytes] = []
    size = 0
    for record in page.records:
        encoded = encode_record(record)
        size += len(encoded)
        if parts and size > limit:
            break
        parts.append(encoded)
    return b"".join(parts)


async def main() -> None:
    """Serve until the process is ended."""
    await PagedStoreServer().start(sys.argv[1], int(sys.argv[2]))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
