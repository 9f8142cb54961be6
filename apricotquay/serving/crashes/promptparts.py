"""The parts that prompts share, as requests and crash reports name them."""

import hashlib
from collections.abc import Iterable
from typing import NewType

import msgspec

PartKey = NewType("PartKey", str)

MAX_PARTS_PER_REQUEST = 32
MAX_PART_ID_LENGTH = 64


def part_key(model: str, part_id: str) -> PartKey:
    """Return the key of a part under a model; long ids are shortened to a digest."""
    if len(part_id) > MAX_PART_ID_LENGTH:
        part_id = hashlib.blake2b(part_id.encode(), digest_size=16).hexdigest()
    return PartKey(f"{part_id}@{model}")


def part_name(part: PartKey) -> PartKey:
    """Return the key of a part without its model, as conclusions hold it."""
    return PartKey(part[: part.rfind("@") + 1] or f"{part}@")


def parts_by_name(parts: Iterable[PartKey]) -> dict[PartKey, PartKey]:
    """Return the parts by their keys without a model."""
    return {part_name(part): part for part in parts}


class PartsAtCrash(msgspec.Struct, frozen=True):
    """One request that ran at a crashed endpoint: its parts without the last."""

    fingerprint: str
    parts: list[PartKey]
