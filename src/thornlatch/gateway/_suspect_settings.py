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
    round_limit : int
        Crashes over all hosts, each of a request that was sent after the one before
        was known, after which a part of their prompts is blocked.
    sound_round_limit : int
        The same for a part of a prompt that was completed before.
    settle_s : float
        Seconds after its first crash before which no part is blocked, so that the
        other hosts' reports of it arrive.
    sound_parts : int
        Maximum number of parts of completed prompts that are remembered.
    block_s : float
        Seconds after the latest crash for which a part of prompts is blocked when it
        reaches the limit. Each further crash doubles them.
    """

    target_limit: Annotated[int, Meta(ge=1)] = 3
    memory_s: Annotated[float, Meta(gt=0)] = 60.0
    size: Annotated[int, Meta(ge=1)] = 500
    restart_s: Annotated[float, Meta(gt=0)] = 1.0
    register_s: Annotated[float, Meta(gt=0)] = 3.0
    round_limit: Annotated[int, Meta(ge=2)] = 3
    sound_round_limit: Annotated[int, Meta(ge=2)] = 6
    settle_s: Annotated[float, Meta(ge=0)] = 0.5
    sound_parts: Annotated[int, Meta(ge=1)] = 4096
    block_s: Annotated[float, Meta(gt=0)] = 15.0
