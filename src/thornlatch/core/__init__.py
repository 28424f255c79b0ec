"""Types shared by all slices: actions, events, messages and lease views."""

from thornlatch.core._actions import (
    Action,
    Append,
    Emit,
    Order,
    Resolve,
    Send,
)
from thornlatch.core._clock import read_clock
from thornlatch.core._codec import (
    Envelope,
    decode_envelope,
    decode_record,
    encode_envelope,
    encode_message,
    encode_record,
    register,
)
from thornlatch.core._connections import BoundedSocket, connect, read_answer
from thornlatch.core._events import Event
from thornlatch.core._leases import LeaseReader, Member, Owner, get_host_name
from thornlatch.core._memory import (
    MemoryBudget,
    MemoryExceeded,
    MemoryUse,
    bound_arenas,
    received_memory,
)
from thornlatch.core._numbers import MAX_DIGITS, parse_number
from thornlatch.core._slices import Slice, has_handler
from thornlatch.core._splitting import StreamSplitter
from thornlatch.core._status import build_status_line

__all__ = [
    "MAX_DIGITS",
    "Action",
    "BoundedSocket",
    "Append",
    "Emit",
    "Envelope",
    "Event",
    "LeaseReader",
    "Member",
    "MemoryBudget",
    "MemoryExceeded",
    "MemoryUse",
    "Order",
    "Owner",
    "Resolve",
    "Send",
    "Slice",
    "StreamSplitter",
    "bound_arenas",
    "build_status_line",
    "connect",
    "decode_envelope",
    "decode_record",
    "encode_envelope",
    "encode_message",
    "encode_record",
    "get_host_name",
    "has_handler",
    "parse_number",
    "read_answer",
    "read_clock",
    "received_memory",
    "register",
]
