"""Callers that read streamed completions and compare them with the expected text."""

import http.client
import json
import threading
import time
from dataclasses import dataclass, field

from standins.engine import build_token
from tests.deployments import SHOP_KEY


@dataclass
class StreamCaller:
    """Reads one streamed completion in a separate thread."""

    address: str
    model: str
    prompt: str
    max_tokens: int
    key: str = SHOP_KEY
    headers: dict[str, str] = field(default_factory=dict)
    status: int = 0
    error: dict[str, object] | None = None
    text: str = ""
    is_done: bool = False
    is_connection_lost: bool = False
    ended_at: float = 0.0
    first_token: threading.Event = field(default_factory=threading.Event)
    thread: threading.Thread | None = None

    def start(self) -> "StreamCaller":
        self.thread = threading.Thread(target=self.read, daemon=True)
        self.thread.start()
        return self

    def join(self, timeout_s: float = 60.0) -> "StreamCaller":
        assert self.thread is not None
        self.thread.join(timeout_s)
        assert not self.thread.is_alive(), (
            f"the stream did not end within {timeout_s} s"
        )
        return self

    def read(self) -> "StreamCaller":
        try:
            self._read()
        except (OSError, http.client.HTTPException):
            self.is_connection_lost = True
        self.ended_at = time.monotonic()
        # A stream that ends without a token also releases the threads that wait for it.
        self.first_token.set()
        return self

    def _read(self) -> None:
        connection = http.client.HTTPConnection(self.address, timeout=60)
        body = {
            "model": self.model,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "stream": True,
        }
        headers = {"Authorization": f"Bearer {self.key}", **self.headers}
        connection.request("POST", "/v1/completions", json.dumps(body), headers)
        response = connection.getresponse()
        self.status = response.status
        if response.status != 200:
            self.error = json.loads(response.read())["error"]
            return
        buffer = b""
        while chunk := response.read1(65536):
            *events, buffer = (buffer + chunk).split(b"\n\n")
            for event in events:
                self._apply_event(event.removeprefix(b"data: "))
        connection.close()

    def _apply_event(self, payload: bytes) -> None:
        if payload == b"[DONE]":
            self.is_done = True
            return
        value = json.loads(payload)
        if "error" in value:
            self.error = value["error"]
            return
        self.text += value["choices"][0]["text"]
        self.first_token.set()

    @property
    def expected_text(self) -> str:
        model = self.model if "@" in self.model else f"{self.model}@1"
        tokens = (build_token(model, self.prompt, i) for i in range(self.max_tokens))
        return "".join(tokens)

    @property
    def is_correct(self) -> bool:
        """Whether the answer is complete and has each token exactly once."""
        return self.is_done and self.error is None and self.text == self.expected_text

    @property
    def is_correct_so_far(self) -> bool:
        """Whether the text received so far is a prefix of the expected answer."""
        return self.expected_text.startswith(self.text)
