"""What operators describe: organisations, keys, pools, targets and adapters."""

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
    """A tenant whose rate and burst are counted over the whole fleet.

    Parameters
    ----------
    name : str
    rate : float
        Tokens per second, prompt and completion together.
    burst : float
        Tokens that may be run at once after a pause.
    weight : float
        Share of the engines relative to other organisations under contention.
    """

    name: Name
    rate: Tokens
    burst: Tokens
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0


@dataclass(frozen=True)
class Key:
    """A bearer key, known by its digest alone.

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
        Loads that may start per second over the fleet.
    full_speed_loads : int
        Loads that proceed at once at full speed.
    in_flight_loads : int
        Loads in flight beyond which every load slows down.
    load_s : float
        Seconds that one load takes at full speed.
    """

    name: Name
    loads_per_s: Annotated[float, Meta(gt=0, le=100_000)]
    full_speed_loads: Count
    in_flight_loads: Count
    load_s: Annotated[float, Meta(gt=0, le=3600)]


@dataclass(frozen=True)
class Pool:
    """A group of like targets that one lease owner schedules.

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
    """One server that runs requests.

    Parameters
    ----------
    name : str
    pool : str
    address : str
        ``ip:port``.
    failure_domain : str
    batch_slots : int
        Requests that run at once.
    adapter_slots : int
        Adapter versions that fit in memory; 0 for plain services.
    checks_fencing : bool
        Whether the target refuses orders with an old fencing number.
    is_leaving : bool
        Whether the operator drains the target.
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
        What callers send as ``model``, alone or as ``name/version``.
    version : str
    pool : str
    organisation : str
        Organisation that may call it; empty if open to all.
    is_default : bool
        Whether this version is served when the caller names none.
    """

    name: Name
    version: Version
    pool: Name
    organisation: str = ""
    is_default: bool = True

    @property
    def label(self) -> str:
        """Name and version as callers write them."""
        return f"{self.name}/{self.version}"


@dataclass(frozen=True)
class Route:
    """Path of a plain service.

    Parameters
    ----------
    path : str
        Path prefix, such as ``/pull/reserve``.
    pool : str
    is_open : bool
        Whether callers without a key may use it.
    is_idempotent : bool
        Whether a call may be repeated without a second effect.
    priority : {"interactive", "batch"}
    organisations : tuple of str
        Organisations that may call it; empty for all.
    tokens : float
        Tokens that one call counts against its organisation's rate.
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
    """All that operators describe, as one value.

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
    """Return the digest under which a bearer key is kept and compared.

    Parameters
    ----------
    key : str

    Returns
    -------
    str
        Hexadecimal SHA-256.
    """
    return hashlib.sha256(key.encode()).hexdigest()
