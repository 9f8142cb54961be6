"""Numbered log events of both daemons. The operators' catalogue is docs/EVENTS.md.

Fields never contain an API key, a prompt or a completion; a test searches the
logs of whole runs for them.
"""

import enum
import logging
import sys

import structlog


class Event(enum.Enum):
    """All events that are logged, each with its number and message."""

    DAEMON_STARTED = (1001, "daemon started")
    DAEMON_DRAINING = (1002, "daemon draining")
    DAEMON_STOPPED = (1003, "daemon stopped")
    DAEMON_STOP_FORCED = (1004, "daemon stopped before all requests had ended")
    THREAD_FAILED = (1005, "background task failed; it goes on")
    LIBRARY_MESSAGE = (1006, "library reported a problem")
    CONFIG_IN_FORCE = (1101, "configuration in force")
    CONFIG_REJECTED = (1102, "configuration record rejected")
    CONFIG_CHECKPOINTED = (1103, "configuration checkpoint appended")
    VIEW_STALE = (1104, "configuration view cannot be confirmed; requests refused")
    VIEW_FRESH = (1105, "configuration view confirmed again")
    KEY_STREAM_CUT = (1106, "stream cut because its key was withdrawn")
    LOG_UNREACHABLE = (1201, "log service cannot be reached")
    LOG_REACHABLE = (1202, "log service reachable again")
    RECORD_SKIPPED = (1203, "record of unknown form skipped")
    DEPENDENCY_LOST = (1204, "dependency does not answer")
    DEPENDENCY_RECOVERED = (1205, "dependency answers again")
    SETTINGS_RELOADED = (1206, "settings reloaded")
    LOG_LINES_DROPPED = (1207, "log lines dropped because the writer was full")
    CONNECTION_REFUSED = (1211, "connection closed because too many are open")
    CLIENT_UNREAD = (1212, "connection closed because its client does not read")
    BODY_REFUSED = (1213, "request refused because no memory is left for its body")
    PEER_UNREAD = (1214, "peer's connection closed because the peer does not read")
    LEASE_CLAIMED = (1301, "lease claimed")
    LEASE_ACTIVE = (1302, "lease active")
    LEASE_LAPSED = (1303, "lease lapsed")
    LEASE_SUPERSEDED = (1304, "lease superseded by a newer claim")
    LEASE_HANDED_OVER = (1305, "lease handed over")
    LEASE_ACCEPTED = (1306, "lease handed over to this daemon")
    SHARDS_OWNED = (1307, "shards owned by this daemon changed")
    MEMBER_JOINED = (1401, "member joined")
    MEMBER_SUSPECTED = (1402, "member does not answer probes")
    MEMBER_GONE = (1403, "member is gone")
    MEMBER_LEAVING = (1404, "member is leaving")
    ENDPOINT_EJECTED = (1501, "endpoint ejected after failures")
    ENDPOINT_LEAVING = (1503, "endpoint leaving; no new work")
    ENDPOINT_LISTED = (1504, "endpoint listed or changed")
    ENDPOINT_UNLISTED = (1505, "endpoint no longer listed")
    ENDPOINT_CRASHED = (1506, "endpoint died while requests ran there")
    CRASH_NOT_CONFIRMED = (1507, "attempt ended but the endpoint did not crash")
    LIMIT_CHANGED = (1508, "endpoint named or lifted a limit on requests")
    LIMIT_MALFORMED = (1509, "endpoint named a limit that is no number")
    ENDPOINT_SAID_LEAVING = (1510, "endpoint said in an answer that it leaves")
    PATH_LOST = (1511, "endpoint out of reach of this VM, though a peer reaches it")
    PATH_RETURNED = (1512, "endpoint within reach of this VM again")
    ENDPOINT_OUT_OF_REACH = (1513, "neither this VM nor a peer reaches the endpoint")
    SLOT_LEASES_EXPIRED = (1514, "slots of a silent VM are free again")
    ZONE_EVACUATED = (1521, "zone evacuated; no new work there")
    EVACUATION_ENDED = (1522, "evacuation of a zone ended")
    ENDPOINT_COLD = (1523, "endpoint cold; it takes few requests")
    ENDPOINT_WARM = (1524, "endpoint warm")
    GRANT_NOT_USED = (1525, "slot not used; its endpoint may not take the request")
    ENDPOINT_SLOW = (1531, "endpoint is slower than the others")
    ENDPOINT_SPEED_USUAL = (1532, "endpoint is about as fast as the others again")
    LOAD_MALFORMED = (1533, "endpoint stated a load that is malformed or absurd")
    REQUEST_ENDED = (1601, "request ended")
    REQUEST_RETRIED = (1602, "request retried")
    REQUEST_QUARANTINED = (1603, "request fingerprint quarantined")
    REQUEST_REFUSED = (1604, "request refused")
    ATTEMPT_ENDED = (1605, "attempt at an endpoint ended")
    REQUEST_ABANDONED = (1606, "request abandoned by its caller")
    CONNECTION_FAILED = (1607, "connection closed within a request")
    PARTS_QUARANTINED = (1608, "parts of prompts quarantined")
    STREAM_TAKEN_UP = (1609, "stream taken up")
    ATTEMPT_RELAYED = (1610, "attempt given to a peer that reaches the endpoint")
    RELAY_SERVED = (1611, "attempt made for a peer ended")
    SLOT_REFUSED = (1621, "slot refused")
    MEMORY_EXCEEDED = (1622, "request larger than the memory of endpoints")
    JOB_ACCEPTED = (1701, "job accepted")
    JOB_FINISHED = (1702, "job finished")
    JOB_CANCELLED = (1703, "job cancelled")
    ITEM_PREEMPTED = (1704, "batch item paused for online requests")
    ITEM_FAILED = (1705, "batch item cannot be done")
    SNAPSHOT_APPENDED = (1706, "partition snapshot appended")
    PARTITION_LOADED = (1707, "partition loaded")
    ITEM_ATTEMPT_ENDED = (1708, "attempt at a batch item ended")
    ITEM_COMPLETED = (1709, "batch item listed")
    JOB_REFUSED = (1710, "job refused")
    JOB_EXPIRED = (1711, "job forgotten after its time")
    ITEM_STALLED = (1712, "batch item makes no progress")
    ORDER_SENT = (1801, "model order sent")
    ORDER_REFUSED = (1802, "model order refused by endpoint")

    @property
    def number(self) -> int:
        """The event's number, stable across releases."""
        return self.value[0]

    @property
    def message(self) -> str:
        """The event's message."""
        return self.value[1]


class EventLog:
    """Writes numbered events as JSON lines.

    Used by every I/O module of the threaded daemon.
    """

    def __init__(self, logger: structlog.typing.FilteringBoundLogger) -> None:
        self._logger: structlog.typing.FilteringBoundLogger = logger

    def write(self, event: Event, **fields: object) -> None:
        """Log one event with its fields."""
        self._logger.info(event.message, number=event.number, **fields)


def open_event_log(vm_id: str, trace: bool = False) -> EventLog:
    """Configure structlog to write JSON lines to standard error."""
    level = logging.DEBUG if trace else logging.INFO
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    return EventLog(structlog.get_logger().bind(vm=vm_id))
