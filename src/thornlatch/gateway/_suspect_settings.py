"""Settings for recognising what crashes targets."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta


@dataclass(frozen=True)
class SuspectSettings:
    """Settings for recognising requests that crash the targets that run them.

    Parameters
    ----------
    target_limit : int
        Suspected crashes, over all hosts, after which a request isn't sent again.
    memory_s : float
        Seconds for which an aborted run is remembered.
    size : int
        Maximum number of requests that are remembered; the oldest are dropped. The
        same for parts of prompts.
    restart_s : float
        Minimum seconds that a crashed target takes to serve again. A target that
        answers sooner hasn't crashed; one that aborts a run later has crashed again.
    register_s : float
        Seconds within which the store reports a target's new incarnation.
    """

    target_limit: Annotated[int, Meta(ge=1)] = 3
    memory_s: Annotated[float, Meta(gt=0)] = 60.0
    size: Annotated[int, Meta(ge=1)] = 500
    restart_s: Annotated[float, Meta(gt=0)] = 1.0
    register_s: Annotated[float, Meta(gt=0)] = 3.0
