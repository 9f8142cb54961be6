"""The availability zones that the operator evacuates. Pure.

A record of the operator asks that endpoints in a zone get nothing new, until it is
removed. Records arrive from the store and from peers, in any order and again; the
newest of a zone by offset counts. Handles the load of a zone that is about to fail:
its endpoints are left out at once, whoever still offers them work.
"""

from collections.abc import Iterable

import msgspec

from .keyedlog import KeyedRecord

# Records of more zones than any operator has are not kept.
MAX_ZONES = 1_024


class EvacuationRecord(msgspec.Struct, frozen=True):
    """What a record of the operator says of a zone: that it is evacuated, that it is
    not, or nothing usable.
    """

    zone: str
    is_evacuated: bool


class EvacuationChange(msgspec.Struct, frozen=True):
    """A zone whose evacuation began or ended, by the record at an offset."""

    zone: str
    is_evacuated: bool
    offset: int


class Evacuations:
    """The evacuated zones, with the newest record of each. Used by `View`."""

    def __init__(self) -> None:
        self._records: dict[str, KeyedRecord] = {}
        self._zones: set[str] = set()

    @property
    def zones(self) -> frozenset[str]:
        """The zones that are evacuated."""
        return frozenset(self._zones)

    def is_evacuated(self, zone: str) -> bool:
        """Whether endpoints in a zone get no new work."""
        return zone in self._zones

    def records(self) -> list[KeyedRecord]:
        """Return the newest record of each zone, also of those that have ended."""
        return list(self._records.values())

    def apply(
        self, decoded: EvacuationRecord, record: KeyedRecord
    ) -> EvacuationChange | None:
        """Apply a record if it is newer than the one known of its zone; return what
        changed.
        """
        zone = decoded.zone
        known = self._records.get(zone)
        if known is not None and known.offset >= record.offset:
            return None
        if known is None and not self._make_room():
            return None
        self._records[zone] = record
        if decoded.is_evacuated == (zone in self._zones):
            return None
        if decoded.is_evacuated:
            self._zones.add(zone)
        else:
            self._zones.discard(zone)
        return EvacuationChange(zone, decoded.is_evacuated, record.offset)

    def end_missing(self, present: Iterable[bytes], end: int) -> list[EvacuationChange]:
        """End the evacuations whose key the newest records of the topic up to `end`
        lack: their removal was compacted away. Return what changed.
        """
        keys = set(present)
        missing = [
            (zone, record)
            for zone, record in self._records.items()
            if record.key not in keys and record.offset < end
        ]
        changes = [
            self.apply(
                EvacuationRecord(zone, False), KeyedRecord(record.key, None, end - 1)
            )
            for zone, record in missing
            if record.value is not None
        ]
        return [change for change in changes if change is not None]

    def _make_room(self) -> bool:
        """Forget a zone whose evacuation has ended if too many are known."""
        if len(self._records) < MAX_ZONES:
            return True
        ended = next((z for z in self._records if z not in self._zones), None)
        if ended is None:
            return False
        del self._records[ended]
        return True
