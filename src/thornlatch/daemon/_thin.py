"""First, simple decisions: each host alone, from the inventory on the log."""

import itertools
import threading
import time
from dataclasses import dataclass
from typing import Any

from thornlatch.configuration import (
    Adapter,
    Inventory,
    Key,
    Pool,
    Route,
    Target,
    digest_key,
)
from thornlatch.core import Event, register
from thornlatch.daemon._journal import Journal
from thornlatch.daemon._services import Grant, GrantSpec
from thornlatch.exceptions import ErrorKind, RequestRefused, TargetError
from thornlatch.targets import load_adapter

FLEET_HOSTS = 3
POLL_S = 0.02


@register
@dataclass(frozen=True)
class InventoryPublished:
    """Puts a whole inventory in force."""

    inventory: Inventory


@dataclass
class _Bucket:
    rate: float
    burst: float
    level: float
    at: float


class ThinServices:
    """Decisions of one host alone.

    Parameters
    ----------
    journal : Journal
    """

    def __init__(self, journal: Journal) -> None:
        self.journal = journal
        self.lock = threading.RLock()
        self.inventory = Inventory()
        self.buckets: dict[str, _Bucket] = {}
        self.busy: dict[str, int] = {}
        self.loaded: dict[str, set[str]] = {}
        self.grants = itertools.count(1)
        self.grant_targets: dict[str, str] = {}
        self.load_slots = threading.Semaphore(2)

    def apply(self, record: Any) -> None:
        """Put a record in force."""
        if isinstance(record, InventoryPublished):
            with self.lock:
                self.inventory = record.inventory

    def authenticate(self, key: str) -> Key:
        """Return the record of a bearer key."""
        digest = digest_key(key)
        for known in self.inventory.keys:
            if known.digest == digest:
                return known
        raise RequestRefused(ErrorKind.UNKNOWN_KEY, "the key isn't known")

    def find_adapter(self, model: str) -> tuple[Adapter, str]:
        """Return adapter and version that a model name means."""
        name, _, version = model.partition("@")
        for adapter in self.inventory.adapters:
            if adapter.name == name:
                return adapter, version or adapter.version
        raise RequestRefused(ErrorKind.UNKNOWN_MODEL, "no such model")

    def find_route(self, path: str) -> Route:
        """Return the route with the longest matching prefix."""
        routes = [r for r in self.inventory.routes if path.startswith(r.path)]
        if not routes:
            raise RequestRefused(ErrorKind.UNKNOWN_ROUTE, "no such path")
        return max(routes, key=lambda route: len(route.path))

    def get_pool(self, name: str) -> Pool:
        """Return a pool."""
        return next(pool for pool in self.inventory.pools if pool.name == name)

    def list_adapters(self, organisation: str) -> list[Adapter]:
        """Return the adapters that an organisation may call."""
        allowed = ("", organisation)
        return [a for a in self.inventory.adapters if a.organisation in allowed]

    def check_serving(self) -> None:
        """Raise if this host may not take requests now."""
        if not self.inventory.pools:
            raise RequestRefused(
                ErrorKind.HOST_UNCONFIRMED, "no configuration yet", retry_after_s=1.0
            )

    def is_key_withdrawn(self, digest: str) -> bool:
        """Return whether a key that was valid has been withdrawn."""
        return bool(digest) and all(k.digest != digest for k in self.inventory.keys)

    def is_confirmed(self) -> bool:
        """Return whether rights granted earlier may be used now."""
        return True

    def admit(self, organisation: str, tokens: float, deadline: float) -> Any:
        """Take tokens of this host's fixed part of the allowance."""
        known = next(o for o in self.inventory.organisations if o.name == organisation)
        with self.lock:
            now = time.monotonic()
            rate, burst = known.rate / FLEET_HOSTS, known.burst / FLEET_HOSTS
            bucket = self.buckets.setdefault(
                organisation, _Bucket(rate, burst, burst, now)
            )
            bucket.level = min(burst, bucket.level + (now - bucket.at) * rate)
            bucket.at = now
            if bucket.level < tokens:
                raise RequestRefused(
                    ErrorKind.RATE_EXCEEDED,
                    "the organisation's rate is used up",
                    retry_after_s=(tokens - bucket.level) / rate,
                )
            bucket.level -= tokens
        return organisation, tokens

    def settle(self, admitted: Any, used: float) -> None:
        """Give back what of the admitted tokens wasn't used."""
        organisation, tokens = admitted
        with self.lock:
            bucket = self.buckets[organisation]
            bucket.level = min(bucket.burst, bucket.level + max(0.0, tokens - used))

    def acquire_grant(self, spec: GrantSpec) -> Grant:
        """Choose the least busy target, with the adapter loaded if possible."""
        model = f"{spec.adapter}@{spec.version}"
        while time.monotonic() < spec.deadline:
            target = self._choose(spec, model)
            if target is None:
                time.sleep(POLL_S)
                continue
            if not spec.adapter or self._ensure_loaded(target, model):
                grant = f"{spec.request}-{next(self.grants)}"
                self.grant_targets[grant] = target.name
                return Grant(grant, target.name, target.address, 0)
            self._add_busy(target.name, -1)
        raise RequestRefused(
            ErrorKind.DEADLINE_UNREACHABLE, "no target in time", retry_after_s=1.0
        )

    def release_grant(
        self, grant: Grant, *, outcome: str, tokens: int, first_token_s: float
    ) -> None:
        """Return a grant; a failed target is taken to have lost its adapters."""
        self._add_busy(grant.target, -1)
        if outcome == "failed":
            with self.lock:
                self.loaded.pop(grant.target, None)

    def emit(self, event: Event) -> None:
        """Write an event to the time line."""
        self.journal.write(event)

    def _choose(self, spec: GrantSpec, model: str) -> Target | None:
        with self.lock:
            targets = [
                target
                for target in self.inventory.targets
                if target.pool == spec.pool
                and target.name not in spec.excluded
                and not target.is_leaving
                and self.busy.get(target.name, 0) < target.batch_slots
            ]
            if not targets:
                return None
            chosen = min(
                targets,
                key=lambda t: (
                    model not in self.loaded.get(t.name, ()),
                    self.busy.get(t.name, 0),
                ),
            )
            self._add_busy(chosen.name, 1)
            return chosen

    def _ensure_loaded(self, target: Target, model: str) -> bool:
        if model in self.loaded.get(target.name, ()):
            return True
        store = self.get_pool(target.pool).store
        try:
            with self.load_slots:
                load_adapter(target.address, model, epoch=0, store=store, timeout_s=5.0)
        except TargetError:
            time.sleep(POLL_S)
            return False
        with self.lock:
            self.loaded.setdefault(target.name, set()).add(model)
        return True

    def _add_busy(self, target: str, count: int) -> None:
        with self.lock:
            self.busy[target] = self.busy.get(target, 0) + count
