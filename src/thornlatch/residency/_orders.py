"""Orders to engines, the outcomes of orders, and the reports of engines."""

from dataclasses import dataclass
from enum import Enum

from thornlatch.fleet import LoadedModel, TargetNotice


@dataclass(frozen=True)
class LoadModel:
    """Loads a base model.

    Parameters
    ----------
    model : str
    """

    model: str


@dataclass(frozen=True)
class LoadAdapter:
    """Loads the newest version of an adapter and replaces an older one.

    Parameters
    ----------
    model, adapter : str
    version : int
        Lowest version that is acceptable; 0 for any.
    """

    model: str
    adapter: str
    version: int


@dataclass(frozen=True)
class UnloadAdapter:
    """Unloads an adapter and frees its slot.

    Parameters
    ----------
    model, adapter : str
    """

    model: str
    adapter: str


ResidencyOrder = LoadModel | LoadAdapter | UnloadAdapter


class OrderOutcome(Enum):
    """Answer to an order; `UNKNOWN` if it got none but may have been executed."""

    ACCEPTED = "accepted"
    HOLDS = "already-holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    OTHER_INCARNATION = "other-incarnation"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class EngineReport:
    """State that an engine reports; it lags by some hundred milliseconds.

    Parameters
    ----------
    sequence : int
        Orders accepted since the engine's start.
    loaded_models : tuple of LoadedModel
    pending : tuple of (str, str, int)
        Model, adapter and version of each load in transit.
    is_busy : bool
        Whether a model order is in progress.
    running, queued : int
        Numbers of requests.
    started_ms : int
        Time of the engine's start, in Unix milliseconds.
    notice : TargetNotice
    """

    sequence: int
    loaded_models: tuple[LoadedModel, ...]
    pending: tuple[tuple[str, str, int], ...]
    is_busy: bool
    running: int
    queued: int
    started_ms: int
    notice: TargetNotice = TargetNotice()
