"""Events of the timeline."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True)
class Event:
    """One event of one process, as written to its log.

    The daemon adds the host id, which also identifies the session, the wall and
    monotonic times and a sequence number.

    Parameters
    ----------
    name : str
        ``<slice>.<action>`` with the action in the past tense, such as
        ``admission.tokens_spent``.
    request : str
        Request id, if the event concerns a request.
    attempt : int
        Attempt number of the request, from 1; 0 if there is none.
    organisation : str
        Organisation, if any.
    target : str
        Target, if any.
    key : str
        Lease key, if any.
    epoch : int
        Lease epoch in which the action was taken; -1 if there is none.
    offset : int
        Log offset; -1 if there is none.
    cause : str
        Identifier of the message sent or received. It is equal for both events, so
        that readers can order the events of several processes.
    detail : dict
        Further fields; values are JSON scalars.
    """

    name: str
    request: str = ""
    attempt: int = 0
    organisation: str = ""
    target: str = ""
    key: str = ""
    epoch: int = -1
    offset: int = -1
    cause: str = ""
    detail: dict[str, Any] = field(default_factory=dict)
