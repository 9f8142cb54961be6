"""Stand-in of a model engine.

It batches continuously: every step gives one token to each running sequence,
and a step takes longer once more sequences run than the engine has slots. It
knows no priorities and admits requests as they arrive. Tokens are a function
of the prompt, so that a test can tell a whole and own answer from any other.

POST /v1/chat/completions streams; `resume_from` continues after that many
tokens. POST /cancel/ID stops a sequence, GET /load reports with a lag, POST
/orders takes model orders, GET /seen shows all that was received.
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

POISON_MARK = "\N{SKULL AND CROSSBONES}"
WORDS = (
    "quay ice parcel notice lab filing courier dock slot route reply block "
    "north seven paper clerk stamp cargo crate lamp"
).split()
END = None
SEEN_LIMIT = 5_000


def generate_token(prompt: str, index: int) -> str:
    """Return the token at an index of the answer to a prompt."""
    digest = hashlib.blake2b(f"{index}\x1f{prompt}".encode(), digest_size=4).digest()
    return f"{WORDS[digest[0] % len(WORDS)]}{digest[1]:02x} "


def generate_text(prompt: str, count: int) -> str:
    """Return the whole answer to a prompt."""
    return "".join(generate_token(prompt, i) for i in range(count))


class Sequence:
    """One request that the engine generates tokens for."""

    def __init__(self, request_id: str, prompt: str, start: int, count: int) -> None:
        self.request_id: str = request_id
        self.prompt: str = prompt
        self.next_index: int = start
        self.count: int = count
        self.cancelled: bool = False
        self.tokens: queue.SimpleQueue = queue.SimpleQueue()


class EngineFaults:
    """Faults that can be switched on while the stand-in runs."""

    def __init__(self) -> None:
        self.refuse: bool = False
        self.cut_after_tokens: int = 0
        self.cross_answers: bool = False
        self.truncate_after_tokens: int = 0
        self.repeat_tokens: bool = False
        self.freeze_ms: int = 0
        self.slow_factor: float = 1.0


class Engine:
    """The stand-in's state, its stepping thread and its HTTP handler."""

    def __init__(self, args) -> None:
        self.faults: EngineFaults = EngineFaults()
        self.model: str = args.model
        self.slots: int = args.slots
        self.step_ms: float = args.step_ms
        self.prefill_ms_per_kchar: float = args.prefill_ms_per_kchar
        self.lag_ms: int = args.load_lag_ms
        self.checks_fencing: bool = args.checks_fencing
        self.tokens_made: int = 0
        self._running: list[Sequence] = []
        self._lock = threading.Condition()
        self._prefix_cache: collections.OrderedDict = collections.OrderedDict()
        self._prefix_limit: int = args.prefix_entries
        self._prefill_owed_ms: float = 0.0
        self._loads: list[tuple[float, int]] = [(0.0, 0)]
        self._seen: collections.deque = collections.deque(maxlen=SEEN_LIMIT)
        self._fencing: int = -1
        self._orders: list[dict] = []

    def handle(self, request: Request) -> Response:
        """Answer one request."""
        path = request.path
        if path == "/load":
            return json_response(self._load_report())
        if path == "/faults":
            for name, value in request.json().items():
                setattr(self.faults, name, value)
            return json_response({"ok": True})
        if path == "/seen":
            return json_response({"seen": list(self._seen)})
        if path == "/stats":
            return json_response({"tokens": self.tokens_made, "orders": self._orders})
        if path == "/orders":
            return self._order(request.json())
        if path.startswith("/cancel/"):
            self._cancel(path.split("/")[2])
            return json_response({"ok": True})
        return self._complete(request)

    def step_forever(self) -> None:
        """Give one token a step to each running sequence."""
        while True:
            with self._lock:
                while not self._running:
                    self._lock.wait()
                count = len(self._running)
                owed_ms, self._prefill_owed_ms = self._prefill_owed_ms, 0.0
            over = max(0, count - self.slots) / self.slots
            step_ms = self.step_ms * (1 + over) * self.faults.slow_factor + owed_ms
            time.sleep((step_ms + self.faults.freeze_ms) / 1000)
            with self._lock:
                self._emit()

    def _emit(self) -> None:
        still_running = []
        for seq in self._running:
            if seq.cancelled:
                seq.tokens.put(END)
                continue
            seq.tokens.put((seq.next_index, generate_token(seq.prompt, seq.next_index)))
            seq.next_index += 1
            self.tokens_made += 1
            if seq.next_index >= seq.count:
                seq.tokens.put(END)
            else:
                still_running.append(seq)
        self._running = still_running
        self._note_load()

    def _note_load(self) -> None:
        now_s = time.monotonic()
        self._loads.append((now_s, len(self._running)))
        limit_s = now_s - self.lag_ms / 1000
        while len(self._loads) > 1 and self._loads[1][0] <= limit_s:
            self._loads.pop(0)

    def _load_report(self) -> dict:
        with self._lock:
            self._note_load()
            running = self._loads[0][1]
        return {"model": self.model, "running": running, "slots": self.slots}

    def _order(self, order: dict) -> Response:
        if self.checks_fencing and order["fencing"] < self._fencing:
            return json_response({"error": "old fencing number"}, 409)
        self._fencing = max(self._fencing, order["fencing"])
        self._orders.append(order)
        if order["kind"] == "load":
            self.model = order["model"]
        return json_response({"ok": True})

    def _cancel(self, request_id: str) -> None:
        with self._lock:
            for seq in self._running:
                if seq.request_id == request_id:
                    seq.cancelled = True

    def _complete(self, request: Request) -> Response:
        body = request.json()
        if self.faults.refuse:
            return json_response({"error": "refused"}, 503)
        if body["model"] != self.model:
            return json_response({"error": "model not loaded"}, 404)
        prompt = "\n".join(str(m["content"]) for m in body["messages"])
        self._seen.append(
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
        cached = self._admit(seq)
        headers = [("Content-Type", "text/event-stream")]
        return Response(200, self._events(seq, start, cached), headers)

    def _admit(self, seq: Sequence) -> bool:
        prefix = hashlib.blake2b(seq.prompt[:256].encode(), digest_size=8).hexdigest()
        with self._lock:
            cached = prefix in self._prefix_cache
            self._prefix_cache[prefix] = True
            self._prefix_cache.move_to_end(prefix)
            while len(self._prefix_cache) > self._prefix_limit:
                self._prefix_cache.popitem(last=False)
            chars = len(seq.prompt) * (0.2 if cached else 1.0)
            self._prefill_owed_ms += chars / 1000 * self.prefill_ms_per_kchar
            if seq.next_index < seq.count:
                self._running.append(seq)
                self._lock.notify_all()
            else:
                seq.tokens.put(END)
        return cached

    def _events(self, seq: Sequence, start: int, cached: bool) -> Iterator[bytes]:
        sent = 0
        try:
            while (item := seq.tokens.get()) is not END:
                index, text = item
                if self._cuts(sent):
                    raise OSError("stream cut by a fault")
                if self._truncates(sent):
                    break
                yield self._chunk(seq, index, text)
                if self.faults.repeat_tokens and sent == 2:
                    yield self._chunk(seq, index, text)
                sent += 1
            if seq.cancelled:
                return
            yield self._last_chunk(seq, cached)
            yield b"data: [DONE]\n\n"
        finally:
            seq.cancelled = True

    def _cuts(self, sent: int) -> bool:
        limit = self.faults.cut_after_tokens
        return bool(limit) and sent >= limit

    def _truncates(self, sent: int) -> bool:
        limit = self.faults.truncate_after_tokens
        return bool(limit) and sent >= limit

    def _chunk(self, seq: Sequence, index: int, text: str) -> bytes:
        return self._data(
            seq,
            {"index": 0, "delta": {"content": text}, "finish_reason": None},
            {"token_index": index},
        )

    def _last_chunk(self, seq: Sequence, cached: bool) -> bytes:
        prompt_tokens = max(1, len(seq.prompt) // 4)
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": seq.count,
            "total_tokens": prompt_tokens + seq.count,
        }
        return self._data(
            seq,
            {"index": 0, "delta": {}, "finish_reason": "stop"},
            {"usage": usage, "token_count": seq.count, "prefix_cached": cached},
        )

    def _data(self, seq: Sequence, choice: dict, extra: dict) -> bytes:
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
    threading.Thread(target=engine.step_forever, daemon=True).start()
    run_server(engine.handle, args.host, args.port, threads=160)


if __name__ == "__main__":
    main()
