"""Items of the inventory: organisations, keys, pools, targets and adapters."""

import hashlib
from dataclasses import dataclass, field
from typing import Annotated, Literal

from msgspec import Meta

Name = Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[\w.:/@-]+\Z")]
Version = Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[\w.:@-]+\Z")]
Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}\Z")]
Tokens = Annotated[float, Meta(gt=0, le=1e12)]
Count = Annotated[int, Meta(ge=1, le=100_000)]


@dataclass(frozen=True)
class Organisation:
    """An organisation, whose rate and burst are limited over the whole fleet.

    Parameters
    ----------
    name : str
    rate : float
        Tokens per second, of prompts and completions together.
    burst : float
        Tokens that may be used at once after a pause.
    weight : float
        Share of the engines under contention, relative to other organisations.
    """

    name: Name
    rate: Tokens
    burst: Tokens
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0


@dataclass(frozen=True)
class Key:
    """A bearer key, of which only the digest is stored.

    Parameters
    ----------
    digest : str
        Hexadecimal SHA-256 of the key.
    organisation : str
    """

    digest: Digest
    organisation: Name


@dataclass(frozen=True)
class Store:
    """A rate-limited weight store.

    Parameters
    ----------
    name : str
    loads_per_s : float
        Loads that may start per second over the whole fleet.
    full_speed_loads : int
        Number of concurrent loads that run at full speed.
    in_flight_loads : int
        Number of loads in flight beyond which every load slows down.
    load_s : float
        Seconds that a load takes at full speed.
    """

    name: Name
    loads_per_s: Annotated[float, Meta(gt=0, le=100_000)]
    full_speed_loads: Count
    in_flight_loads: Count
    load_s: Annotated[float, Meta(gt=0, le=3600)]


@dataclass(frozen=True)
class Pool:
    """A group of equivalent targets that one lease owner schedules.

    Parameters
    ----------
    name : str
    kind : {"engine", "plain"}
    model : str
        Base model of an engine pool; empty for plain services.
    store : str
        Weight store of an engine pool; empty for plain services.
    """

    name: Name
    kind: Literal["engine", "plain"]
    model: str = ""
    store: str = ""


@dataclass(frozen=True)
class Target:
    """A server that runs requests.

    Parameters
    ----------
    name : str
    pool : str
    address : str
        ``ip:port``.
    failure_domain : str
    batch_slots : int
        Number of requests that run concurrently.
    adapter_slots : int
        Number of adapter versions that fit in memory; 0 for plain services.
    checks_fencing : bool
        Whether the target refuses orders with an outdated fencing number.
    is_leaving : bool
        Whether an operator drains the target.
    """

    name: Name
    pool: Name
    address: Annotated[str, Meta(pattern=r"^[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}\Z")]
    failure_domain: Name
    batch_slots: Count = 16
    adapter_slots: Annotated[int, Meta(ge=0, le=100_000)] = 0
    checks_fencing: bool = False
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class Adapter:
    """One version of a fine-tuned adapter.

    Parameters
    ----------
    name : str
        Name that callers send as ``model``, alone or as ``name/version``.
    version : str
    pool : str
    organisation : str
        Organisation that may call it; empty if open to all.
    is_default : bool
        Whether this version is used when the caller names none.
    """

    name: Name
    version: Version
    pool: Name
    organisation: str = ""
    is_default: bool = True

    @property
    def label(self) -> str:
        """Name and version in the form ``name/version``."""
        return f"{self.name}/{self.version}"


@dataclass(frozen=True)
class Route:
    """A path that is served by a pool of plain services.

    Parameters
    ----------
    path : str
        Path prefix, such as ``/pull/reserve``.
    pool : str
    is_open : bool
        Whether callers without a key may use it.
    is_idempotent : bool
        Whether repeating a call has no further effect.
    priority : {"interactive", "batch"}
    organisations : tuple of str
        Organisations that may call it; empty for all.
    tokens : float
        Tokens that a call is charged against its organisation's rate.
    """

    path: Annotated[str, Meta(pattern=r"^/[\w./-]*\Z", max_length=200)]
    pool: Name
    is_open: bool = False
    is_idempotent: bool = True
    priority: Literal["interactive", "batch"] = "interactive"
    organisations: tuple[str, ...] = ()
    tokens: Tokens = 1.0


@dataclass(frozen=True)
class Inventory:
    """Complete inventory as described by operators.

    Parameters
    ----------
    organisations : tuple of Organisation
    keys : tuple of Key
    stores : tuple of Store
    pools : tuple of Pool
    targets : tuple of Target
    adapters : tuple of Adapter
    routes : tuple of Route
    """

    organisations: tuple[Organisation, ...] = ()
    keys: tuple[Key, ...] = ()
    stores: tuple[Store, ...] = ()
    pools: tuple[Pool, ...] = ()
    targets: tuple[Target, ...] = ()
    adapters: tuple[Adapter, ...] = ()
    routes: tuple[Route, ...] = field(default=())


def digest_key(key: str) -> str:
    """Return the digest under which a bearer key is stored and compared.

    Parameters
    ----------
    key : str

    Returns
    -------
    str
        Hexadecimal SHA-256.
    """
    return hashlib.sha256(key.encode()).hexdigest()
