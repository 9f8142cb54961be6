"""The fixed set of error kinds, the response to each, and the exceptions.

Used by both daemons.
"""

import enum

import msgspec


class Ran(enum.Enum):
    """Whether an endpoint executed the request that ended with an error."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """Every kind of error that a caller or an operator can receive."""

    BAD_REQUEST = "bad_request"
    KEY_MISSING = "key_missing"
    KEY_REJECTED = "key_rejected"
    KEY_WITHDRAWN = "key_withdrawn"
    TEAM_FORBIDDEN = "team_forbidden"
    ROUTE_UNKNOWN = "route_unknown"
    JOB_UNKNOWN = "job_unknown"
    JOB_KEY_CONFLICT = "job_key_conflict"
    BODY_TOO_LARGE = "body_too_large"
    RATE_EXCEEDED = "rate_exceeded"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    REQUEST_QUARANTINED = "request_quarantined"
    ENDPOINT_MISSING = "endpoint_missing"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_FAILED = "endpoint_failed"
    STREAM_BROKEN = "stream_broken"
    STREAM_UNKNOWN = "stream_unknown"
    VIEW_STALE = "view_stale"
    LIMIT_UNAVAILABLE = "limit_unavailable"
    LOG_UNAVAILABLE = "log_unavailable"
    JOB_STORE_UNAVAILABLE = "job_store_unavailable"
    DRAINING = "draining"
    MEMORY_EXCEEDED = "memory_exceeded"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ITEM_CANCELLED = "item_cancelled"
    VERSION_CONFLICT = "version_conflict"
    DOCUMENT_INVALID = "document_invalid"
    SETTINGS_INVALID = "settings_invalid"
    INTERNAL = "internal"


class ErrorResponse(msgspec.Struct, frozen=True):
    """The HTTP response to an error kind.

    `ran` applies unless the code that raises the error knows a better value.
    `retry_after_ms` is zero if a retry of the same request cannot succeed.
    """

    status: int
    ran: Ran
    retry_after_ms: int = 0


_NOT_RUN, _RAN, _UNKNOWN = Ran.NOT_RUN, Ran.RAN, Ran.UNKNOWN

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, _NOT_RUN),
    ErrorKind.KEY_MISSING: ErrorResponse(401, _NOT_RUN),
    ErrorKind.KEY_REJECTED: ErrorResponse(401, _NOT_RUN),
    ErrorKind.KEY_WITHDRAWN: ErrorResponse(401, _UNKNOWN),
    ErrorKind.TEAM_FORBIDDEN: ErrorResponse(403, _NOT_RUN),
    ErrorKind.ROUTE_UNKNOWN: ErrorResponse(404, _NOT_RUN),
    ErrorKind.JOB_UNKNOWN: ErrorResponse(404, _NOT_RUN),
    ErrorKind.JOB_KEY_CONFLICT: ErrorResponse(409, _NOT_RUN),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, _NOT_RUN),
    ErrorKind.RATE_EXCEEDED: ErrorResponse(429, _NOT_RUN, 1_000),
    ErrorKind.QUEUE_FULL: ErrorResponse(429, _NOT_RUN, 1_000),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorResponse(503, _NOT_RUN, 1_000),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, _UNKNOWN),
    ErrorKind.REQUEST_QUARANTINED: ErrorResponse(422, _NOT_RUN),
    ErrorKind.ENDPOINT_MISSING: ErrorResponse(503, _NOT_RUN, 2_000),
    ErrorKind.ENDPOINT_REFUSED: ErrorResponse(503, _NOT_RUN, 1_000),
    ErrorKind.ENDPOINT_FAILED: ErrorResponse(502, _UNKNOWN, 1_000),
    ErrorKind.STREAM_BROKEN: ErrorResponse(502, _RAN, 1_000),
    ErrorKind.STREAM_UNKNOWN: ErrorResponse(503, _NOT_RUN, 1_000),
    ErrorKind.VIEW_STALE: ErrorResponse(503, _NOT_RUN, 2_000),
    ErrorKind.LIMIT_UNAVAILABLE: ErrorResponse(503, _NOT_RUN, 2_000),
    ErrorKind.LOG_UNAVAILABLE: ErrorResponse(503, _UNKNOWN, 5_000),
    ErrorKind.JOB_STORE_UNAVAILABLE: ErrorResponse(503, _NOT_RUN, 5_000),
    ErrorKind.DRAINING: ErrorResponse(503, _NOT_RUN, 500),
    ErrorKind.MEMORY_EXCEEDED: ErrorResponse(421, _NOT_RUN),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(502, _UNKNOWN),
    ErrorKind.ITEM_CANCELLED: ErrorResponse(409, _UNKNOWN),
    ErrorKind.VERSION_CONFLICT: ErrorResponse(409, _NOT_RUN),
    ErrorKind.DOCUMENT_INVALID: ErrorResponse(400, _NOT_RUN),
    ErrorKind.SETTINGS_INVALID: ErrorResponse(400, _NOT_RUN),
    ErrorKind.INTERNAL: ErrorResponse(500, _UNKNOWN),
}


class ApricotquayError(Exception):
    """Base class of the exceptions that this package raises."""


class RequestError(ApricotquayError):
    """A request ended with an error of a known kind.

    `ran` and `retry_after_ms` override the defaults of the kind where the code
    that raises the error knows more; `param` names the invalid input field.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        ran: Ran | None = None,
        retry_after_ms: int | None = None,
        param: str | None = None,
    ) -> None:
        super().__init__(message)
        response = ERROR_RESPONSES[kind]
        self.kind: ErrorKind = kind
        self.message: str = message
        self.status: int = response.status
        self.ran: Ran = ran if ran is not None else response.ran
        self.retry_after_ms: int = (
            retry_after_ms if retry_after_ms is not None else response.retry_after_ms
        )
        self.param: str | None = param

    def body(self) -> dict:
        """Return the JSON body in the format that client libraries expect."""
        return {
            "error": {
                "message": self.message,
                "type": self.kind.value,
                "code": self.kind.value,
                "param": self.param,
                "ran": self.ran.value,
                "retry_after_ms": self.retry_after_ms,
            }
        }


class LogUnavailableError(ApricotquayError):
    """The log service gave no usable response; an append may have taken effect."""


class PeerUnavailableError(ApricotquayError):
    """A peer did not answer.

    `refused` is true if its port refused the connection, which proves that the
    process has ended; otherwise the peer may be alive but unreachable. `sent` is
    true if the peer may have received the call and may act on it.
    """

    def __init__(
        self, message: str, *, refused: bool = False, sent: bool = False
    ) -> None:
        super().__init__(message)
        self.refused: bool = refused
        self.sent: bool = sent
