"""Settings of the pages that explain a host's decisions."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta


@dataclass(frozen=True)
class ExplanationSettings:
    """What a host keeps and shows for explanations.

    Parameters
    ----------
    recent_limit_bytes : int
        Memory for the latest requests, which can be explained by their id; about
        1.2 KB each, and more with long paths or many parts of a prompt. 0 to keep none.
    target_limit : int
        Largest number of targets on a page.
    """

    recent_limit_bytes: Annotated[int, Meta(ge=0, le=1 << 30)] = 4 << 20
    target_limit: Annotated[int, Meta(ge=1, le=10_000)] = 200
