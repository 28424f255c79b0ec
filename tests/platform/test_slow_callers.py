"""Callers that read their answers slowly."""

import signal
import socket
import time

from hosts import TIMEOUT_S, run_deployment
from stand_ins import ModelServer
from test_silent_targets import announce

ANSWER_BYTES = 8_000_000
REQUEST = (
    b"POST /many/x HTTP/1.1\r\nHost: a.example\r\n"
    b"Thornlatch-Request-Id: abababababababab\r\nAuthorization: Token key-1\r\n"
    b"Content-Length: 4\r\n\r\nbody"
)


class LongAnswers(ModelServer):
    def take_request(self, handler, body):
        handler.send(
            200,
            b"q" * ANSWER_BYTES,
            Thornlatch_Request_Id=handler.headers["Thornlatch-Request-Id"],
            Thornlatch_Server_Signature="sig",
        )


# A planned stop cut an answer that its caller was still reading.
def test_planned_stop_waits_for_a_caller_that_reads_slowly(tmp_path):
    with run_deployment(tmp_path, "llm-1") as (store, _, host):
        server = LongAnswers("api-1", "api")
        announce(store, host, server)
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        caller.connect(("127.0.0.1", host.callers))
        caller.sendall(REQUEST)
        count = len(caller.recv(1 << 16))
        host.process.send_signal(signal.SIGTERM)
        while data := caller.recv(1 << 16):
            count += len(data)
            time.sleep(0.04)  # about 5 s for the whole answer; the host has 8 s
        caller.close()
        server.close()
        assert count > ANSWER_BYTES
        assert host.process.wait(timeout=TIMEOUT_S) == 0
