"""Signals that the system gives to another thread than the main one."""

import os
import signal
import time

import pytest

from hosts import run_deployment, wait_until

REACTION_S = 3.0


@pytest.mark.parametrize(
    ("signal_number", "event"),
    [(signal.SIGTERM, "host.stopping"), (signal.SIGHUP, "host.reloaded")],
)
def test_signal_to_any_thread_is_acted_on_at_once(tmp_path, signal_number, event):
    """It was seen up to 10 s later, when the main thread woke up by itself.

    The system chose another thread for SIGTERM right after SIGCONT, in 4 of 5 trials.
    """
    with run_deployment(tmp_path, "api-1") as (_, _, host):
        host.wait_ready()
        pid = host.process.pid
        threads = [int(name) for name in os.listdir(f"/proc/{pid}/task")]
        # A signal to the id of a thread goes to the process, by preference to it.
        os.kill(max(thread for thread in threads if thread != pid), signal_number)
        sent_at = time.monotonic()
        wait_until(lambda: host.list_events(event), host.read_log)
        assert time.monotonic() - sent_at < REACTION_S
