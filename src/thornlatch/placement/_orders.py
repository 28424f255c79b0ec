"""Data of placement: adapter versions, needs and orders to targets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class AdapterVersion:
    """One version of an adapter, the unit that targets load.

    Parameters
    ----------
    adapter : str
        Empty for plain services.
    version : str
    """

    adapter: str
    version: str


@dataclass(frozen=True)
class AdapterOrder:
    """What orders to load and to evict an adapter version have in common.

    Parameters
    ----------
    adapter : str
    version : str
    epoch : int
        Fencing number.
    deadline_s : float
        Seconds from the sending after which the target must not begin.
    """

    adapter: str
    version: str
    epoch: int
    deadline_s: float


@dataclass(frozen=True)
class LoadAdapter(AdapterOrder):
    """Orders a target to load an adapter version into an empty slot."""


@dataclass(frozen=True)
class EvictAdapter(AdapterOrder):
    """Orders a target to evict an adapter version that nobody may use."""


@dataclass(frozen=True)
class LoadNeed:
    """Requests that wait for a load of one adapter version.

    Parameters
    ----------
    version : AdapterVersion
    organisation : str
        Organisation of the request that waits most urgently.
    weight : float
        Waiting requests by priority and age; the wait per second that a load ends.
    is_copy : bool
        Whether the version is loaded already but all its targets are busy.
    excluded : frozenset of str
        Targets that can't serve the waiting requests.
    """

    version: AdapterVersion
    organisation: str
    weight: float
    is_copy: bool = False
    excluded: frozenset[str] = frozenset()
