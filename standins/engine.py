"""Stand-in for an inference engine behind the threaded daemon.

It batches continuously: every step generates one token for each running sequence,
and a step takes longer once more sequences run than the engine has slots. It
has no priorities and admits requests in order of arrival. Tokens are a function
of the prompt, so that a test can tell a complete response to its own request from
any other.

POST /v1/chat/completions streams; `resume_from` continues after that many
tokens. POST /cancel/ID stops a sequence, GET /load reports the load with a lag,
POST /orders accepts model orders, GET /seen returns the recorded requests.
"""

import collections
import hashlib
import json
import os
import queue
import threading
import time
from collections.abc import Iterator

from .web import Request, Response, json_response, make_argument_parser, run_server

# The engine crashes on a prompt that contains this mark.
POISON_MARK = "\N{SKULL AND CROSSBONES}"
WORDS = (
    "quay ice parcel notice lab filing courier dock slot route reply block "
    "north seven paper clerk stamp cargo crate lamp"
).split()
END_OF_TOKENS = None
MAX_RECORDED_REQUESTS = 5_000


def generate_token(prompt: str, index: int) -> str:
    """Return the token at an index of the completion of a prompt."""
    digest = hashlib.blake2b(f"{index}\x1f{prompt}".encode(), digest_size=4).digest()
    return f"{WORDS[digest[0] % len(WORDS)]}{digest[1]:02x} "


def generate_text(prompt: str, count: int) -> str:
    """Return the complete text that the engine generates for a prompt."""
    return "".join(generate_token(prompt, i) for i in range(count))


class Sequence:
    """A request that the engine generates tokens for."""

    def __init__(self, request_id: str, prompt: str, start: int, count: int) -> None:
        self.request_id: str = request_id
        self.prompt: str = prompt
        self.next_index: int = start
        self.count: int = count
        self.cancelled: bool = False
        self.tokens: queue.SimpleQueue = queue.SimpleQueue()


class EngineFaults:
    """Faults that POST /faults sets by attribute name while the stand-in runs."""

    def __init__(self) -> None:
        self.refuse: bool = False
        self.cut_after_tokens: int = 0
        self.cross_answers: bool = False
        self.truncate_after_tokens: int = 0
        self.repeat_tokens: bool = False
        self.freeze_ms: int = 0
        self.slow_factor: float = 1.0


class Engine:
    """State, generation loop and HTTP handler of the stand-in."""

    def __init__(self, args) -> None:
        self.faults: EngineFaults = EngineFaults()
        self.model: str = args.model
        self.slots: int = args.slots
        self.step_ms: float = args.step_ms
        self.prefill_ms_per_kchar: float = args.prefill_ms_per_kchar
        self.lag_ms: int = args.load_lag_ms
        self.checks_fencing: bool = args.checks_fencing
        self.tokens_generated: int = 0
        self._running: list[Sequence] = []
        self._lock = threading.Condition()
        self._prefix_cache: collections.OrderedDict = collections.OrderedDict()
        self._prefix_cache_size: int = args.prefix_entries
        self._pending_prefill_ms: float = 0.0
        self._load_history: list[tuple[float, int]] = [(0.0, 0)]
        self._requests: collections.deque = collections.deque(
            maxlen=MAX_RECORDED_REQUESTS
        )
        self._highest_fencing: int = -1
        self._orders: list[dict] = []

    def handle(self, request: Request) -> Response:
        """Handle one request."""
        path = request.path
        if path == "/load":
            return json_response(self._report_load())
        if path == "/faults":
            for name, value in request.json().items():
                setattr(self.faults, name, value)
            return json_response({"ok": True})
        if path == "/seen":
            return json_response({"seen": list(self._requests)})
        if path == "/stats":
            return json_response(
                {"tokens": self.tokens_generated, "orders": self._orders}
            )
        if path == "/orders":
            return self._apply_order(request.json())
        if path.startswith("/cancel/"):
            self._cancel(path.split("/")[2])
            return json_response({"ok": True})
        return self._handle_completion(request)

    def run_steps(self) -> None:
        """Generate one token per step for each running sequence, forever."""
        while True:
            with self._lock:
                while not self._running:
                    self._lock.wait()
                count = len(self._running)
                prefill_ms, self._pending_prefill_ms = self._pending_prefill_ms, 0.0
            overload = max(0, count - self.slots) / self.slots
            step_ms = (
                self.step_ms * (1 + overload) * self.faults.slow_factor + prefill_ms
            )
            time.sleep((step_ms + self.faults.freeze_ms) / 1000)
            with self._lock:
                self._generate_tokens()

    def _generate_tokens(self) -> None:
        still_running = []
        for seq in self._running:
            if seq.cancelled:
                seq.tokens.put(END_OF_TOKENS)
                continue
            seq.tokens.put((seq.next_index, generate_token(seq.prompt, seq.next_index)))
            seq.next_index += 1
            self.tokens_generated += 1
            if seq.next_index >= seq.count:
                seq.tokens.put(END_OF_TOKENS)
            else:
                still_running.append(seq)
        self._running = still_running
        self._record_load()

    def _record_load(self) -> None:
        now_s = time.monotonic()
        self._load_history.append((now_s, len(self._running)))
        visible_at_s = now_s - self.lag_ms / 1000
        while len(self._load_history) > 1 and self._load_history[1][0] <= visible_at_s:
            self._load_history.pop(0)

    def _report_load(self) -> dict:
        with self._lock:
            self._record_load()
            running = self._load_history[0][1]
        return {"model": self.model, "running": running, "slots": self.slots}

    def _apply_order(self, order: dict) -> Response:
        if self.checks_fencing and order["fencing"] < self._highest_fencing:
            return json_response({"error": "old fencing number"}, 409)
        self._highest_fencing = max(self._highest_fencing, order["fencing"])
        self._orders.append(order)
        if order["kind"] == "load":
            self.model = order["model"]
        return json_response({"ok": True})

    def _cancel(self, request_id: str) -> None:
        with self._lock:
            for seq in self._running:
                if seq.request_id == request_id:
                    seq.cancelled = True

    def _handle_completion(self, request: Request) -> Response:
        body = request.json()
        if self.faults.refuse:
            return json_response({"error": "refused"}, 503)
        if body["model"] != self.model:
            return json_response({"error": "model not loaded"}, 404)
        prompt = "\n".join(str(m["content"]) for m in body["messages"])
        self._requests.append(
            {
                "headers": request.headers(),
                "query": request.environ.get("QUERY_STRING", ""),
                "body": body,
            }
        )
        if POISON_MARK in prompt:
            os._exit(1)
        request_id = request.headers().get("x-request-id", "")
        start = int(body.get("resume_from", 0))
        seq = Sequence(request_id, prompt, start, int(body.get("max_tokens") or 16))
        cached = self._admit_sequence(seq)
        headers = [("Content-Type", "text/event-stream")]
        return Response(200, self._stream_events(seq, start, cached), headers)

    def _admit_sequence(self, seq: Sequence) -> bool:
        prefix = hashlib.blake2b(seq.prompt[:256].encode(), digest_size=8).hexdigest()
        with self._lock:
            cached = prefix in self._prefix_cache
            self._prefix_cache[prefix] = True
            self._prefix_cache.move_to_end(prefix)
            while len(self._prefix_cache) > self._prefix_cache_size:
                self._prefix_cache.popitem(last=False)
            chars = len(seq.prompt) * (0.2 if cached else 1.0)
            self._pending_prefill_ms += chars / 1000 * self.prefill_ms_per_kchar
            if seq.next_index < seq.count:
                self._running.append(seq)
                self._lock.notify_all()
            else:
                seq.tokens.put(END_OF_TOKENS)
        return cached

    def _stream_events(
        self, seq: Sequence, start: int, cached: bool
    ) -> Iterator[bytes]:
        sent = 0
        try:
            while (item := seq.tokens.get()) is not END_OF_TOKENS:
                index, text = item
                if self._closes_stream(sent):
                    raise OSError("stream closed by an injected fault")
                if self._ends_early(sent):
                    break
                yield self._encode_token(seq, index, text)
                if self.faults.repeat_tokens and sent == 2:
                    yield self._encode_token(seq, index, text)
                sent += 1
            if seq.cancelled:
                return
            yield self._encode_last_chunk(seq, cached)
            yield b"data: [DONE]\n\n"
        finally:
            seq.cancelled = True

    def _closes_stream(self, sent: int) -> bool:
        limit = self.faults.cut_after_tokens
        return bool(limit) and sent >= limit

    def _ends_early(self, sent: int) -> bool:
        limit = self.faults.truncate_after_tokens
        return bool(limit) and sent >= limit

    def _encode_token(self, seq: Sequence, index: int, text: str) -> bytes:
        return self._encode_chunk(
            seq,
            {"index": 0, "delta": {"content": text}, "finish_reason": None},
            {"token_index": index},
        )

    def _encode_last_chunk(self, seq: Sequence, cached: bool) -> bytes:
        prompt_tokens = max(1, len(seq.prompt) // 4)
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": seq.count,
            "total_tokens": prompt_tokens + seq.count,
        }
        return self._encode_chunk(
            seq,
            {"index": 0, "delta": {}, "finish_reason": "stop"},
            {"usage": usage, "token_count": seq.count, "prefix_cached": cached},
        )

    def _encode_chunk(self, seq: Sequence, choice: dict, extra: dict) -> bytes:
        request_id = "crossed" if self.faults.cross_answers else seq.request_id
        value = {
            "id": request_id,
            "object": "chat.completion.chunk",
            "created": int(time.time()),
            "model": self.model,
            "choices": [choice],
            **extra,
        }
        return b"data: " + json.dumps(value).encode() + b"\n\n"


def main() -> None:
    """Run the stand-in."""
    parser = make_argument_parser(__doc__)
    parser.add_argument("--model", default="quay-llm")
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--step-ms", type=float, default=10.0)
    parser.add_argument("--prefill-ms-per-kchar", type=float, default=2.0)
    parser.add_argument("--load-lag-ms", type=int, default=300)
    parser.add_argument("--prefix-entries", type=int, default=64)
    parser.add_argument("--checks-fencing", action="store_true")
    args = parser.parse_args()
    engine = Engine(args)
    threading.Thread(target=engine.run_steps, daemon=True).start()
    run_server(engine.handle, args.host, args.port, threads=160)


if __name__ == "__main__":
    main()
