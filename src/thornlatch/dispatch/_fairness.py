"""Shares of organisations by a virtual counter of tokens served."""

from collections.abc import Callable


class FairShares:
    """Start-time fair queueing between organisations.

    Each organisation has a tag, the tokens served to it over its weight. The lowest
    tag is served next. An organisation that was idle begins at the virtual time, less
    a small credit, so that it can't save up service.

    Parameters
    ----------
    get_weight : callable
        Weight of an organisation by name.
    credit_tokens : float
        Tokens by which a tag may lag behind the virtual time.
    """

    def __init__(
        self, get_weight: Callable[[str], float], credit_tokens: float
    ) -> None:
        self.get_weight = get_weight
        self.credit_tokens = credit_tokens
        self.virtual_time = 0.0
        self.tags: dict[str, float] = {}

    def get_tag(self, organisation: str) -> float:
        """Return the organisation's tag; the lowest is served first."""
        credit = self.credit_tokens / self.get_weight(organisation)
        floor = self.virtual_time - credit
        return max(self.tags.get(organisation, floor), floor)

    def charge(self, organisation: str, tokens: float) -> None:
        """Count tokens that begin to be served."""
        start = self.get_tag(organisation)
        self.tags[organisation] = start + tokens / self.get_weight(organisation)
        self.virtual_time = max(self.virtual_time, start)

    def correct(self, organisation: str, tokens: float) -> None:
        """Add the difference between tokens served and tokens charged."""
        tag = self.get_tag(organisation)
        self.tags[organisation] = tag + tokens / self.get_weight(organisation)
