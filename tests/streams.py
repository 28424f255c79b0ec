"""Callers that read streams and check each token."""

import http.client
import json
import threading
import time
from dataclasses import dataclass, field

from standins.engine import build_token
from tests.deployments import SHOP_KEY


@dataclass
class StreamCaller:
    """Reads one streamed completion in a thread of its own."""

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
    is_broken: bool = False
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
        assert not self.thread.is_alive(), "the stream did not end"
        return self

    def read(self) -> "StreamCaller":
        try:
            self._read()
        except (OSError, http.client.HTTPException):
            self.is_broken = True
        self.ended_at = time.monotonic()
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
        while part := response.read1(65536):
            *events, buffer = (buffer + part).split(b"\n\n")
            for event in events:
                self._take(event.removeprefix(b"data: "))
        connection.close()

    def _take(self, payload: bytes) -> None:
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
    def expected(self) -> str:
        model = self.model if "@" in self.model else f"{self.model}@1"
        tokens = (build_token(model, self.prompt, i) for i in range(self.max_tokens))
        return "".join(tokens)

    @property
    def is_right(self) -> bool:
        """Whether the whole answer came, each token once."""
        return self.is_done and self.error is None and self.text == self.expected

    @property
    def is_prefix(self) -> bool:
        """Whether what came is a beginning of the right answer."""
        return self.expected.startswith(self.text)
