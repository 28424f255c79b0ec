"""Fair queueing between organisations."""

from collections.abc import Callable


class FairShares:
    """Start-time fair queueing between organisations.

    Each organisation has a tag, the tokens or loads served to it divided by its weight,
    and the lowest tag is served next. An organisation that was idle resumes at the
    virtual time less a small credit, so that it can't accumulate unused service.

    Parameters
    ----------
    get_weight : callable
        Returns the weight of an organisation by name.
    credit : float
        Tokens or loads by which an organisation may lag behind the virtual time.
    """

    def __init__(self, get_weight: Callable[[str], float], credit: float) -> None:
        self.get_weight = get_weight
        self.credit = credit
        self.virtual_time = 0.0
        self.tags: dict[str, float] = {}

    def get_tag(self, organisation: str) -> float:
        """Return the tag of an organisation; the lowest is served first."""
        tag_credit = self.credit / self.get_weight(organisation)
        floor = self.virtual_time - tag_credit
        return max(self.tags.get(organisation, floor), floor)

    def charge(self, organisation: str, amount: float) -> None:
        """Charge an organisation for an amount that begins to be served."""
        start = self.get_tag(organisation)
        self.tags[organisation] = start + amount / self.get_weight(organisation)
        self.virtual_time = max(self.virtual_time, start)

    def correct(self, organisation: str, amount: float) -> None:
        """Add the difference between the amount served and the amount charged."""
        tag = self.get_tag(organisation)
        self.tags[organisation] = tag + amount / self.get_weight(organisation)
