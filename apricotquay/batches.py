"""HTTP API of the threaded daemon for jobs: files of JSON lines, and batches of them.

A file's id encodes the job's id, the number of its lines and their digest, so any
daemon can accept the job without having received the upload.
"""

import email.parser
import email.policy
import re
from collections.abc import Iterator

import msgspec

from .access import AccessControl, Caller, check_key_absent
from .clocks import Clock
from .errors import ErrorKind, RequestError
from .ids import JobId, RouteName, TeamId, derive_job_id
from .jobstore import JobStore
from .messages import JobReply
from .records import JobAccepted
from .settings import Settings
from .submission import check_submission
from .web import HttpRequest, HttpResponse, json_response

JOB_KEY_HEADER = "x-job-key"
MAX_JOB_KEY_CHARS = 200
COMPLETION_WINDOW_S = 24 * 3600
_FILE_ID = re.compile(
    r"file-(?P<job>[0-9a-f]{16})-(?P<count>\d+)-(?P<digest>[0-9a-f]{16})"
    r"-(?P<route>[\w.-]+)"
)


class FileId(msgspec.Struct, frozen=True):
    """The parsed id of an uploaded file."""

    job: JobId
    count: int
    digest: str
    route: RouteName

    def text(self) -> str:
        """Return the id in its text form."""
        job = self.job.removeprefix("batch_")
        return f"file-{job}-{self.count}-{self.digest}-{self.route}"


class BatchHandlers:
    """Handles uploads, submissions, queries and cancellations of jobs."""

    def __init__(
        self, settings: Settings, access: AccessControl, jobs: JobStore, clock: Clock
    ) -> None:
        self._settings: Settings = settings
        self._access: AccessControl = access
        self._jobs: JobStore = jobs
        self._clock: Clock = clock

    def upload(self, http: HttpRequest) -> HttpResponse:
        """Handle POST /v1/files: validate the lines and append them to the log."""
        caller = self._access.authenticate(http)
        data = _file_content(http, http.read_body(self._settings.max_body_bytes))
        check_key_absent(caller, data)
        document = caller.configuration.document
        submission = check_submission(document, caller.team, data)
        job_key = _job_key(http) or f"file:{submission.digest}"
        job = derive_job_id(caller.team, job_key)
        self._jobs.submit(job, caller.team, submission)
        file_id = FileId(
            job, len(submission.lines), submission.digest, submission.route
        )
        return json_response(
            {
                "id": file_id.text(),
                "object": "file",
                "bytes": len(data),
                "created_at": self._clock.wall_ms() // 1000,
                "filename": "items.jsonl",
                "purpose": "batch",
                "status": "processed",
            }
        )

    def create(self, http: HttpRequest) -> HttpResponse:
        """Handle POST /v1/batches, with a file's id or the JSON lines themselves."""
        caller = self._access.authenticate(http)
        if "jsonl" in http.header("content-type"):
            return self._create_from_lines(http, caller)
        body = http.read_json(self._settings.max_online_body_bytes)
        file_id = _parse_file_id(body.get("input_file_id"))
        return self._accept_job(caller, file_id, _job_key(http))

    def retrieve(self, http: HttpRequest) -> HttpResponse:
        """Handle GET /v1/batches/ID."""
        caller = self._access.authenticate(http)
        job = JobId(http.match["job"])
        return json_response(_batch(job, self._known_job(job, caller.team)))

    def cancel(self, http: HttpRequest) -> HttpResponse:
        """Handle POST /v1/batches/ID/cancel."""
        caller = self._access.authenticate(http)
        job = JobId(http.match["job"])
        return json_response(_batch(job, self._jobs.cancel(job, caller.team)))

    def content(self, http: HttpRequest) -> HttpResponse:
        """Handle GET /v1/files/output-ID/content: return the available result lines."""
        caller = self._access.authenticate(http)
        job = JobId(f"batch_{http.match['job']}")
        self._known_job(job, caller.team)
        first_page = self._jobs.results(job, caller.team, 0)
        lines = self._result_lines(job, caller.team, first_page)
        return HttpResponse(200, lines, [("Content-Type", "application/jsonl")])

    def _create_from_lines(self, http: HttpRequest, caller: Caller) -> HttpResponse:
        job_key = _job_key(http)
        if not job_key:
            raise RequestError(
                ErrorKind.BAD_REQUEST,
                f"{JOB_KEY_HEADER} must name the job, so that a resend is the same",
                param=JOB_KEY_HEADER,
            )
        data = http.read_body(self._settings.max_body_bytes)
        check_key_absent(caller, data)
        document = caller.configuration.document
        submission = check_submission(document, caller.team, data)
        job = derive_job_id(caller.team, job_key)
        known = self._jobs.query(job, caller.team)
        if not known.known:
            self._jobs.submit(job, caller.team, submission)
        count = len(submission.lines)
        file_id = FileId(job, count, submission.digest, submission.route)
        return self._accept_job(caller, file_id, job_key)

    def _accept_job(
        self, caller: Caller, file_id: FileId, job_key: str
    ) -> HttpResponse:
        expected = derive_job_id(caller.team, job_key or f"file:{file_id.digest}")
        if job_key and expected != file_id.job:
            raise RequestError(
                ErrorKind.BAD_REQUEST,
                f"the file was not uploaded with this {JOB_KEY_HEADER}",
                param=JOB_KEY_HEADER,
            )
        accepted = JobAccepted(
            file_id.job,
            caller.team,
            job_key,
            file_id.route,
            file_id.digest,
            file_id.count,
            self._clock.wall_ms(),
        )
        return json_response(_batch(file_id.job, self._jobs.accept(accepted)))

    def _known_job(self, job: JobId, team: TeamId) -> JobReply:
        reply = self._jobs.query(job, team)
        if not reply.known:
            raise RequestError(
                ErrorKind.JOB_UNKNOWN, "the team has no such job", param="id"
            )
        return reply

    def _result_lines(self, job: JobId, team: TeamId, page) -> Iterator[bytes]:
        while True:
            for line in page.lines:
                yield line + b"\n"
            if page.next_first < 0:
                return
            page = self._jobs.results(job, team, page.next_first)


def _job_key(http: HttpRequest) -> str:
    job_key = http.header(JOB_KEY_HEADER)
    if len(job_key) > MAX_JOB_KEY_CHARS:
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            f"{JOB_KEY_HEADER} is over {MAX_JOB_KEY_CHARS} characters",
            param=JOB_KEY_HEADER,
        )
    return job_key


def _parse_file_id(value: object) -> FileId:
    match = _FILE_ID.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            "input_file_id names no uploaded file",
            param="input_file_id",
        )
    return FileId(
        JobId(f"batch_{match['job']}"),
        int(match["count"]),
        match["digest"],
        RouteName(match["route"]),
    )


def _file_content(http: HttpRequest, body: bytes) -> bytes:
    """Return the part named "file" of a multipart body, or the body itself."""
    content_type = http.header("content-type")
    if not content_type.startswith("multipart/"):
        return body
    head = f"Content-Type: {content_type}\r\n\r\n".encode()
    parser = email.parser.BytesParser(policy=email.policy.HTTP)
    for part in parser.parsebytes(head + body).iter_parts():
        if part.get_param("name", header="content-disposition") == "file":
            return part.get_payload(decode=True)
    raise RequestError(
        ErrorKind.BAD_REQUEST, "the body has no part named file", param="file"
    )


def _batch(job: JobId, reply: JobReply) -> dict:
    """Return a job in the response format of batch clients."""
    status = "in_progress"
    if reply.cancelled_at_ms:
        status = "cancelled"
    elif reply.finished_at_ms:
        status = "completed"
    accepted_at_s = reply.accepted_at_ms // 1000
    output = f"output-{job.removeprefix('batch_')}"
    return {
        "id": job,
        "object": "batch",
        "endpoint": "/v1/chat/completions",
        "input_file_id": "",
        "completion_window": "24h",
        "status": status,
        "output_file_id": output if reply.done + reply.failed + reply.unknown else None,
        "created_at": accepted_at_s,
        "in_progress_at": accepted_at_s,
        "expires_at": accepted_at_s + COMPLETION_WINDOW_S,
        "completed_at": reply.finished_at_ms // 1000 or None,
        "cancelled_at": reply.cancelled_at_ms // 1000 or None,
        "request_counts": {
            "total": reply.total,
            "completed": reply.done,
            "failed": reply.failed + reply.unknown,
        },
        "metadata": {
            "job_key": reply.job_key,
            "cancelled_items": str(reply.cancelled),
            "unknown_items": str(reply.unknown),
        },
    }
