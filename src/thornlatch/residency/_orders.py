"""Orders to engines, their outcomes and engines' reports."""

from dataclasses import dataclass
from enum import Enum

from thornlatch.fleet import LoadedModel


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
    """Loads an adapter's newest version, in place of an older one if held.

    Parameters
    ----------
    model, adapter : str
    version : int
        Lowest version that will do; 0 for any.
    """

    model: str
    adapter: str
    version: int


@dataclass(frozen=True)
class UnloadAdapter:
    """Gives an adapter's place free.

    Parameters
    ----------
    model, adapter : str
    """

    model: str
    adapter: str


ResidencyOrder = LoadModel | LoadAdapter | UnloadAdapter


class OrderOutcome(Enum):
    """What an engine answered to an order."""

    ACCEPTED = "accepted"
    HOLDS = "already-holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    OTHER_INCARNATION = "other-incarnation"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class EngineReport:
    """What an engine says of itself, as of some hundred ms ago.

    Parameters
    ----------
    sequence : int
        Orders accepted since its start.
    loaded_models : tuple of LoadedModel
    pending : tuple of (str, str, int)
        Model, adapter and version on their way.
    is_busy : bool
        Whether an order for a model is under way.
    running, queued : int
        Requests.
    started_ms : int
        Unix milliseconds of its start.
    """

    sequence: int
    loaded_models: tuple[LoadedModel, ...]
    pending: tuple[tuple[str, str, int], ...]
    is_busy: bool
    running: int
    queued: int
    started_ms: int
