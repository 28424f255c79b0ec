"""Writes events of the stand-ins in the format of thornlatch's event logs."""

import itertools
import json
import sys
import threading
import time
from typing import Any

_sequence = itertools.count(1)
_lock = threading.Lock()


def write_event(name: str, *, host: str, **fields: Any) -> None:
    """Write one event as a JSON line on standard error.

    Parameters
    ----------
    name : str
    host : str
    **fields
        Fields of `thornlatch.core.Event`.
    """
    event = {
        "event": name,
        "host": host,
        "wall": time.time(),
        "monotonic": time.monotonic(),
        **fields,
    }
    with _lock:
        event["sequence"] = next(_sequence)
        sys.stderr.write(json.dumps(event) + "\n")
        sys.stderr.flush()
