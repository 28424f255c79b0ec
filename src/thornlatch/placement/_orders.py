"""Data classes of placement: adapter versions, load needs and orders to targets."""

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
    """Base class of the orders that load or evict an adapter version.

    Parameters
    ----------
    adapter : str
    version : str
    epoch : int
        Fencing token; rises with each change of the owner.
    deadline_s : float
        Seconds after sending at which the target must no longer start the order.
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
    """Orders a target to evict an adapter version that no request may use."""


@dataclass(frozen=True)
class LoadNeed:
    """Need to load one adapter version, for waiting requests or as a prefetch.

    Parameters
    ----------
    version : AdapterVersion
    organisation : str
        Organisation of the most urgent waiting request; empty for a prefetch.
    weight : float
        Number of waiting requests, weighted by priority and age. It is the weighted
        waiting time that the load ends in each second. For a prefetch, requests per
        second.
    is_copy : bool
        Whether the load adds a further copy. If requests wait for it, the targets that
        hold the version are busy or excluded.
    excluded : frozenset of str
        Targets that can't serve the waiting requests.
    """

    version: AdapterVersion
    organisation: str
    weight: float
    is_copy: bool = False
    excluded: frozenset[str] = frozenset()
