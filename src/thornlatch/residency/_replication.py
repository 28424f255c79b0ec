"""Copies of adapters for crowded targets, decided by the host that holds the target.

An adapter sits at one target at first, and a target with some popular ones gets far
more requests than others: each new prompt there delays the streams of all. A copy at a
target with fewer requests takes a part of them.
"""

from collections.abc import Container, Mapping, Sequence
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta


@dataclass(frozen=True)
class ReplicationSettings:
    """When a target counts as crowded.

    Parameters
    ----------
    crowd_ratio : float
        Requests at a target, in mean numbers of the service's targets, from which it is
        crowded.
    slot_ratio : float
        Part of its slots below which no target is crowded.
    adapter_requests : int
        Requests for an adapter at the target from which a copy of it helps.
    period_s : float
        Seconds between two copies for one target; the first must show in the load.
    """

    crowd_ratio: Annotated[float, Meta(ge=1)] = 1.25
    slot_ratio: Annotated[float, Meta(gt=0, le=1)] = 0.25
    adapter_requests: Annotated[int, Meta(ge=1)] = 2
    period_s: Annotated[float, Meta(gt=0)] = 0.3


@dataclass(frozen=True)
class TargetLoad:
    """What is known of a target when copies are decided.

    Parameters
    ----------
    target : str
    requests : int
        Requests of all hosts there.
    slots : int
    uses : mapping of str to int
        The same by adapter.
    adapters : container of str
        Adapters that it holds or will hold.
    former : container of str
        Adapters that it held before, and so loads quickly.
    can_load : bool
        Whether a host that is heard of orders its adapters.
    """

    target: str
    requests: int
    slots: int
    uses: Mapping[str, int]
    adapters: Container[str]
    former: Container[str]
    can_load: bool = True


@dataclass(frozen=True)
class AdapterCopy:
    """A copy of an adapter that would relieve a target.

    Parameters
    ----------
    adapter : str
    target : str
        Where it is to be loaded.
    """

    adapter: str
    target: str


def choose_copy(
    crowded: TargetLoad,
    others: Sequence[TargetLoad],
    settings: ReplicationSettings,
    *,
    may_fetch: bool,
) -> AdapterCopy | None:
    """Return the copy that relieves a target most, if it is crowded.

    Parameters
    ----------
    crowded : TargetLoad
    others : sequence of TargetLoad
        The service's other targets that take new work.
    settings : ReplicationSettings
    may_fetch : bool
        Whether the weight store has room; if not, only targets that held an adapter
        before load it.

    Returns
    -------
    AdapterCopy or None
    """
    mean = (crowded.requests + sum(one.requests for one in others)) / (len(others) + 1)
    floor = max(crowded.slots * settings.slot_ratio, mean * settings.crowd_ratio)
    if crowded.requests <= floor:
        return None
    calm = [one for one in others if one.requests < mean]
    for adapter, uses in sorted(crowded.uses.items(), key=lambda item: -item[1]):
        if uses < settings.adapter_requests:
            return None
        if not adapter or any(adapter in one.adapters for one in calm):
            # New requests go to the copy that is there or on its way.
            continue
        able = [
            one for one in calm if one.can_load and (may_fetch or adapter in one.former)
        ]
        if able:
            best = min(able, key=lambda one: (adapter not in one.former, one.requests))
            return AdapterCopy(adapter, best.target)
    return None
