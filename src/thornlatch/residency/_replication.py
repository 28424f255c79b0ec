"""Replication of adapters from crowded targets, decided by the target's holder.

An adapter is first loaded at one target. A target with several popular adapters gets
far more requests than others, and each new prompt there delays all of its streams. A
copy at a target with fewer requests serves part of them.
"""

from collections.abc import Container, Mapping, Sequence
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta


@dataclass(frozen=True)
class ReplicationSettings:
    """Thresholds from which adapters of a target are replicated.

    Parameters
    ----------
    crowd_ratio : float
        Requests at a target, relative to the mean over the service's targets, above
        which it is crowded.
    slot_ratio : float
        Fraction of its slots up to which a target is never crowded.
    adapter_requests : int
        Smallest number of requests for an adapter at the target for which it is copied.
    period_s : float
        Seconds between two copies for one target, so that the effect of the first
        shows in the load.
    """

    crowd_ratio: Annotated[float, Meta(ge=1)] = 1.25
    slot_ratio: Annotated[float, Meta(gt=0, le=1)] = 0.25
    adapter_requests: Annotated[int, Meta(ge=1)] = 2
    period_s: Annotated[float, Meta(gt=0)] = 0.3


@dataclass(frozen=True)
class TargetLoad:
    """Load and adapters of a target, as known to the deciding host.

    Parameters
    ----------
    target : str
    requests : int
        Requests of all hosts at the target.
    slots : int
        Requests that it can run at once.
    uses : mapping of str to int
        Requests of all hosts at the target, by adapter.
    adapters : container of str
        Adapters that it holds, loads or is going to load.
    former : container of str
        Adapters that it held before and so loads faster.
    can_load : bool
        Whether the target has a holder from which this host receives messages.
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
    """A copy of an adapter to load.

    Parameters
    ----------
    adapter : str
    target : str
        Target that loads the copy.
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
    """Return the copy that takes most requests off a target, if it is crowded.

    Parameters
    ----------
    crowded : TargetLoad
    others : sequence of TargetLoad
        The service's other targets that accept new requests.
    settings : ReplicationSettings
    may_fetch : bool
        Whether the weight store has capacity; if not, an adapter is copied only to
        targets that held it before.

    Returns
    -------
    AdapterCopy or None
    """
    mean = (crowded.requests + sum(load.requests for load in others)) / (
        len(others) + 1
    )
    threshold = max(crowded.slots * settings.slot_ratio, mean * settings.crowd_ratio)
    if crowded.requests <= threshold:
        return None
    less_loaded = [load for load in others if load.requests < mean]
    for adapter, count in sorted(crowded.uses.items(), key=lambda item: -item[1]):
        if count < settings.adapter_requests:
            return None
        if not adapter or any(adapter in load.adapters for load in less_loaded):
            # New requests are sent to the copy that is loaded or in transit there.
            continue
        candidates = [
            load
            for load in less_loaded
            if load.can_load and (may_fetch or adapter in load.former)
        ]
        if candidates:
            best = min(
                candidates, key=lambda load: (adapter not in load.former, load.requests)
            )
            return AdapterCopy(adapter, best.target)
    return None
