"""A server breaks off inside an event and then writes bytes that are no answer."""

import sys
import threading
import time

from lib.case import build_config, has_trouble, run_case, send
from lib.gateways import Gateway
from lib.servers import Server
from lib.store import Store

TIMEOUT_S = 0.8  # timeoutMs of the route that is watched
BUDGET_MS = 1500  # the clients' time budget
SLACK_S = 0.5  # until a request without a final answer counts
MIN_LATE = 8
CLIENTS = 12
SOUND_ANSWERS = 60  # before the one that is spoiled
STREAM_CLIENTS = 4
CALM_LIMIT_S = 40.0
WATCH_S = 15.0
NO_ANSWER = b"HTTP/1.1 503 Service Unavailable "
LINE_BYTES = 256 * 1024


class BrokenEngine(Server):
    """An engine that spoils one of its streams if `is_spoiling` is set."""

    is_spoiling = False
    answers = 0

    def run(self, handler, request):
        """Stream an answer; spoil it after the first event."""
        with self.lock:
            self.answers += 1
            is_spoiled, self.is_spoiling = self.is_spoiling, False
        if not is_spoiled:
            super().run(handler, request)
            return
        self.begin_stream(handler, request)
        self.send_event(handler, b"id: 1\ndata: e1\n\n")
        self.send_event(handler, b"id: 2\ndata: e")
        line = NO_ANSWER * (LINE_BYTES // len(NO_ANSWER)) + b"\r\n\r\n"
        while True:  # without end, until the caller closes
            self.send_event(handler, line)


def play(record, folder, to_close):
    """Let one stream be spoiled; return whether CONFIG was kept."""
    store = Store()
    to_close.append(store)
    store.put("keyed.op", "config", build_config())
    engine = BrokenEngine("i-llm-1", "llm", slots=32, model="m")
    sound_engine = Server("i-llm-2", "llm", slots=32, model="m")
    servers = [Server(f"i-api-{n}", "api", slots=6) for n in range(3)]
    servers += [engine, sound_engine]
    to_close.extend(servers)
    for server in servers:
        store.put("keyed.servers", server.name, server.describe())
    gateway = Gateway("edge-1", store.address, folder)
    to_close.append(gateway)
    gateway.wait_ready()
    record.add("the host is ready")
    stopping = threading.Event()
    answers = []
    for _ in range(CLIENTS):
        threading.Thread(
            target=reserve, args=(gateway, stopping, answers), daemon=True
        ).start()
    threading.Thread(target=watch_readiness, args=(gateway, stopping, record)).start()
    for number in range(STREAM_CLIENTS):
        threading.Thread(
            target=summarise, args=(number, gateway, stopping, record), daemon=True
        ).start()
    until = time.monotonic() + CALM_LIMIT_S
    while engine.answers < SOUND_ANSWERS and time.monotonic() < until:
        time.sleep(0.05)
    record.add(f"{engine.name} has given {engine.answers} sound answers")
    engine.is_spoiling = has_trouble()
    began_at = time.monotonic()
    record.add(f"its next answer is spoiled: {has_trouble()}")
    time.sleep(WATCH_S)
    stopping.set()
    time.sleep(BUDGET_MS / 1000 + 0.5)
    return judge(record, answers, began_at)


def summarise(number, gateway, stopping, record):
    """Send streams, one after the other."""
    while not stopping.is_set():
        answer = send(
            gateway.callers,
            "POST",
            "/llm/x",
            deadline_ms=12000,
            body=b"prompt",
            Thornlatch_Model=f"m/a{number}",
            Thornlatch_Token_Usage="600,50",
        )
        record.add(f"stream: status {answer.status}, {len(answer.body)} bytes")
        time.sleep(0.1)


def reserve(gateway, stopping, answers):
    """Send requests that may not be repeated, one after the other."""
    while not stopping.is_set():
        answers.append(
            send(
                gateway.callers, "POST", "/once/x", deadline_ms=BUDGET_MS, body=b"copy"
            )
        )
        time.sleep(0.1)


def watch_readiness(gateway, stopping, record):
    """Ask each second whether the host is ready, as the platform does."""
    while not stopping.is_set():
        record.add(f"readiness: {gateway.ask_ready()}")
        time.sleep(1.0)


def judge(record, answers, began_at):
    """Return whether requests got a final answer half a second after their timeout."""
    sent = [answer for answer in answers if answer.sent_at >= began_at]
    unanswered, late = [], []
    for answer in sorted(sent, key=lambda answer: answer.sent_at):
        took_s = answer.ended_at - answer.sent_at
        is_final = answer.status != 0
        record.add(
            f"reserve: status {answer.status} {answer.error} after {took_s:.3f} s",
            at=answer.ended_at,
        )
        if not is_final or took_s > TIMEOUT_S:
            unanswered.append(answer)
        if not is_final or took_s > TIMEOUT_S + SLACK_S:
            late.append(answer)
    record.add(
        f"of {len(sent)} requests {len(unanswered)} had no answer after timeoutMs, and"
        f" {len(late)} had none {SLACK_S} s later"
    )
    return len(late) < MIN_LATE or len(late) <= len(unanswered) / 2


run_case(play, sys.argv[1])
