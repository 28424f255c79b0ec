"""Stand-in for a model engine with adapter slots, batch slots and fault injection.

Each token of a completion is a function of adapter, version, prompt and token index,
so that a test can check every token of an answer.
"""

import hashlib
import http.client
import json
import os
import threading
import time
import uuid
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from standins._events import write_event
from standins._http import Environ, Response, build_app, build_parser, run_main, serve

# A prompt that contains this text ends the engine's process during generation.
CRASH_MARK = "CRASH-THE-ENGINE"


def build_token(model: str, prompt: str, index: int) -> str:
    """Return the text of one token of a completion.

    Parameters
    ----------
    model : str
        ``adapter@version``.
    prompt : str
    index : int
        Position of the token in the completion, from 0.

    Returns
    -------
    str
    """
    digest = hashlib.sha256(f"{model}|{prompt}".encode()).hexdigest()[:6]
    return f"{digest}-{index} "


@dataclass(frozen=True)
class EngineOptions:
    """Capacity, latency and behaviour of the engine.

    Parameters
    ----------
    name : str
        Name of the target in events.
    base_model : str
    batch_slots : int
        Requests that generate at the same time; further ones wait.
    adapter_slots : int
        Adapter versions that fit into memory.
    token_s : float
        Seconds between tokens.
    prefill_s : float
        Seconds from getting a batch slot to the first token.
    store : str
        ``ip:port`` of the weight store; if empty, loads take no time.
    checks_fencing : bool
        Whether orders with a fencing number lower than the highest seen are refused.
    report_lag_s : float
        Seconds for which a load report is served before it is updated.
    """

    name: str = "engine"
    base_model: str = "base"
    batch_slots: int = 16
    adapter_slots: int = 32
    token_s: float = 0.01
    prefill_s: float = 0.005
    store: str = ""
    checks_fencing: bool = False
    report_lag_s: float = 0.5


class Engine:
    """Model engine that loads adapters, generates tokens and reports its load.

    Parameters
    ----------
    options : EngineOptions
    """

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.incarnation = uuid.uuid4().hex
        self.lock = threading.Lock()
        self.batch_slots = threading.Semaphore(options.batch_slots)
        self.loaded: dict[str, float] = {}
        self.running: dict[str, str] = {}
        self.cancelled: set[str] = set()
        self.waiting = 0
        self.use_counts: Counter[str] = Counter()
        self.highest_fencing_number = -1
        self.fail_loads = 0
        self.wrong_version = False
        self.recorded: list[dict[str, Any]] = []
        self.report: tuple[float, dict[str, Any]] = (0.0, {})
        self.app = build_app(
            {
                ("POST", "/v1/load_lora_adapter"): self.load_adapter,
                ("POST", "/v1/unload_lora_adapter"): self.unload_adapter,
                ("POST", "/v1/cancel"): self.cancel,
                ("POST", "/v1/completions"): self.complete,
                ("POST", "/v1/chat/completions"): self.complete,
                ("GET", "/v1/models"): self.list_models,
                ("GET", "/load"): self.get_report,
                ("GET", "/recorded"): lambda *_: Response(self.recorded),
                ("POST", "/faults"): self.set_faults,
            }
        )

    def load_adapter(self, environ: Environ, value: Any) -> Response:
        """Load an adapter version into a free slot."""
        refusal = self._check_fencing(environ)
        if refusal:
            return refusal
        model = value["lora_name"]
        with self.lock:
            if model in self.loaded:
                return Response({"loaded": model})
            if len(self.loaded) >= self.options.adapter_slots:
                return Response({"error": "no free adapter slot"}, 409)
            is_failing = self.fail_loads > 0
            self.fail_loads -= int(is_failing)
        if not is_failing:
            is_failing = not self._fetch_weights(model)
        if is_failing:
            return Response({"error": "load failed"}, 500)
        with self.lock:
            if len(self.loaded) >= self.options.adapter_slots:
                return Response({"error": "no free adapter slot"}, 409)
            self.loaded[model] = time.monotonic()
        self._write_event("target.adapter_loaded", detail={"adapter": model})
        return Response({"loaded": model})

    def unload_adapter(self, environ: Environ, value: Any) -> Response:
        """Unload an adapter version, also while requests use it.

        The requests that use it are listed in the event.
        """
        refusal = self._check_fencing(environ)
        if refusal:
            return refusal
        model = value["lora_name"]
        with self.lock:
            loaded_at = self.loaded.pop(model, None)
            request_ids = [r for r, m in self.running.items() if m == model]
        self._write_event(
            "target.adapter_unloaded", detail={"adapter": model, "used": request_ids}
        )
        return Response({"unloaded": model}, 200 if loaded_at is not None else 404)

    def complete(self, environ: Environ, value: Any) -> Response:
        """Generate a completion or chat completion, as one response or a stream."""
        headers = {k: v for k, v in environ.items() if k.startswith("HTTP_")}
        self.recorded.append({"headers": headers, "body": value})
        model = value["model"]
        request = environ.get("HTTP_X_REQUEST_ID") or uuid.uuid4().hex
        attempt = int(environ.get("HTTP_X_ATTEMPT", "0"))
        if model not in self.loaded and model != self.options.base_model:
            return Response({"error": f"adapter {model} is not loaded"}, 404)
        self._write_event(
            "target.request_run",
            request=request,
            attempt=attempt,
            detail={
                "model": model,
                "resume_after": value.get("resume_after", 0),
                "has_key": "HTTP_AUTHORIZATION" in headers,
            },
        )
        tokens = self._generate(environ, value, request)
        is_chat = "messages" in value
        if value.get("stream"):
            chunks = self._iter_chunks(tokens, value, request, is_chat=is_chat)
            return Response(chunks, is_stream=True)
        token_texts = list(tokens)
        answer = _build_answer(
            self._get_reported_model(model),
            request,
            "".join(token_texts),
            len(token_texts),
            is_chat,
        )
        return Response(answer)

    def cancel(self, _environ: Environ, value: Any) -> Response:
        """Cancel a running request."""
        with self.lock:
            self.cancelled.add(value["request"])
        return Response({"cancelled": value["request"]})

    def list_models(self, _environ: Environ, _value: Any) -> Response:
        """List the base model and the loaded adapter versions."""
        with self.lock:
            names = [self.options.base_model, *self.loaded]
        models = [{"id": name, "object": "model"} for name in names]
        listing = {"object": "list", "data": models, "incarnation": self.incarnation}
        return Response(listing)

    def get_report(self, _environ: Environ, _value: Any) -> Response:
        """Return the load report, which is up to `report_lag_s` old."""
        now = time.monotonic()
        with self.lock:
            if now - self.report[0] >= self.options.report_lag_s or not self.report[1]:
                self.report = (
                    now,
                    {
                        "incarnation": self.incarnation,
                        "running": len(self.running),
                        "waiting": self.waiting,
                        "loaded": list(self.loaded),
                        "in_use": [m for m, n in self.use_counts.items() if n > 0],
                    },
                )
            return Response(self.report[1])

    def set_faults(self, _environ: Environ, value: Any) -> Response:
        """Set how many loads fail and whether answers name a wrong version."""
        with self.lock:
            self.fail_loads = int(value.get("fail_loads", 0))
            self.wrong_version = bool(value.get("wrong_version", False))
        return Response({"ok": True})

    def _generate(self, environ: Environ, value: Any, request: str) -> Iterator[str]:
        model = value["model"]
        prompt = _get_prompt(value)
        is_disconnected = environ.get("waitress.client_disconnected", lambda: False)
        with self.lock:
            self.waiting += 1
            self.use_counts[model] += 1
        self.batch_slots.acquire()
        with self.lock:
            self.waiting -= 1
            self.running[request] = model
        try:
            time.sleep(self.options.prefill_s)
            for index in range(value.get("resume_after", 0), value["max_tokens"]):
                if CRASH_MARK in prompt:
                    os._exit(70)
                with self.lock:
                    is_cancelled = request in self.cancelled
                if is_cancelled or is_disconnected():
                    self._write_event("target.request_cancelled", request=request)
                    return
                yield build_token(model, prompt, index)
                time.sleep(self.options.token_s)
        finally:
            self.batch_slots.release()
            with self.lock:
                self.running.pop(request, None)
                self.use_counts[model] -= 1
                self.cancelled.discard(request)

    def _iter_chunks(
        self, tokens: Iterator[str], value: Any, request: str, *, is_chat: bool
    ) -> Iterator[bytes]:
        model = self._get_reported_model(value["model"])
        index = value.get("resume_after", 0)
        for token in tokens:
            choice: dict[str, Any] = {"index": 0, "finish_reason": None}
            choice.update({"delta": {"content": token}} if is_chat else {"text": token})
            chunk = {
                "id": request,
                "object": "chat.completion.chunk" if is_chat else "text_completion",
                "created": int(time.time()),
                "model": model,
                "choices": [choice],
                "token_index": index,
            }
            index += 1
            yield b"data: " + json.dumps(chunk).encode() + b"\n\n"
        choice = {"index": 0, "finish_reason": "length"}
        empty_content: dict[str, Any] = {"delta": {}} if is_chat else {"text": ""}
        choice.update(empty_content)
        chunk = {
            "id": request,
            "object": "chat.completion.chunk" if is_chat else "text_completion",
            "created": int(time.time()),
            "model": model,
            "choices": [choice],
            "usage": {"completion_tokens": index},
        }
        yield b"data: " + json.dumps(chunk).encode() + b"\n\n"
        yield b"data: [DONE]\n\n"

    def _get_reported_model(self, model: str) -> str:
        return model + "-other" if self.wrong_version else model

    def _check_fencing(self, environ: Environ) -> Response | None:
        fencing_number = int(environ.get("HTTP_X_FENCING_TOKEN", "-1"))
        with self.lock:
            if (
                self.options.checks_fencing
                and fencing_number < self.highest_fencing_number
            ):
                return Response({"error": "fencing number is outdated"}, 412)
            self.highest_fencing_number = max(
                self.highest_fencing_number, fencing_number
            )
        return None

    def _fetch_weights(self, model: str) -> bool:
        if not self.options.store:
            return True
        connection = http.client.HTTPConnection(self.options.store, timeout=30)
        try:
            connection.request("GET", f"/weights/{model.replace('@', '/')}")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def _write_event(self, name: str, **fields: Any) -> None:
        write_event(name, host=self.options.name, target=self.options.name, **fields)


def _get_prompt(value: Any) -> str:
    if "messages" in value:
        return "\n".join(str(message["content"]) for message in value["messages"])
    return str(value["prompt"])


def _build_answer(
    model: str, request: str, text: str, tokens: int, is_chat: bool
) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
    message = {"role": "assistant", "content": text}
    choice.update({"message": message} if is_chat else {"text": text})
    return {
        "id": request,
        "object": "chat.completion" if is_chat else "text_completion",
        "created": int(time.time()),
        "model": model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": 0,
            "completion_tokens": tokens,
            "total_tokens": tokens,
        },
    }


def main(arguments: list[str]) -> int:
    """Run the stand-in until SIGTERM.

    Parameters
    ----------
    arguments : list of str
        Command-line arguments.

    Returns
    -------
    int
        Exit status.
    """
    parser = build_parser(__doc__)
    parser.add_argument("--base-model", default="base")
    parser.add_argument("--batch-slots", type=int, default=16)
    parser.add_argument("--adapter-slots", type=int, default=32)
    parser.add_argument("--token-s", type=float, default=0.01)
    parser.add_argument("--prefill-s", type=float, default=0.005)
    parser.add_argument("--store", default="")
    parser.add_argument("--checks-fencing", action="store_true")
    parser.add_argument("--report-lag-s", type=float, default=0.5)
    values = vars(parser.parse_args(arguments))
    address = values.pop("address")
    values["name"] = values["name"] or "engine"
    engine = Engine(EngineOptions(**values))
    return serve(engine.app, address, name=engine.options.name, threads=64)


if __name__ == "__main__":
    run_main(main)
