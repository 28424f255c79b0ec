"""Look-ups in the configuration in force; immutable, so safe for all threads."""

from collections.abc import Iterator
from dataclasses import replace
from functools import cached_property
from urllib.parse import unquote

from thornlatch.configuration._inventory import (
    Adapter,
    Key,
    Organisation,
    Pool,
    Route,
    Store,
    Target,
)
from thornlatch.configuration._state import ConfigurationState


class ConfigurationView:
    """The configuration in force at one offset.

    Parameters
    ----------
    state : ConfigurationState
    """

    def __init__(self, state: ConfigurationState) -> None:
        self.state = state

    @property
    def offset(self) -> int:
        """Highest offset applied."""
        return self.state.offset

    @property
    def inventory_offset(self) -> int:
        """Offset of the inventory in force; -1 if there is none."""
        return self.state.inventory_offset

    def get_key(self, digest: str) -> Key | None:
        """Return the key in force with `digest`, if any.

        The time of the look-up doesn't reveal keys, since callers choose keys but not
        their digests.
        """
        return self.state.get_key(digest)

    def is_withdrawn(self, digest: str) -> bool:
        """Return whether the key with `digest` was withdrawn."""
        return digest in self.state.withdrawn

    def get_organisation(self, name: str) -> Organisation | None:
        """Return the organisation with its rate and burst, if any."""
        return self.state.tables.organisations.get(name)

    def get_store(self, name: str) -> Store | None:
        """Return the weight store, if any."""
        return self.state.tables.stores.get(name)

    def get_pool(self, name: str) -> Pool | None:
        """Return the pool, if any."""
        return self.state.tables.pools.get(name)

    def get_target(self, name: str) -> Target | None:
        """Return the target, marked as leaving if it is drained."""
        target = self.state.tables.targets.get(name)
        if target is None or name not in self.state.draining:
            return target
        return replace(target, is_leaving=True)

    def find_adapter(self, model: str) -> Adapter | None:
        """Return the adapter version that a caller's ``model`` names, if any.

        Parameters
        ----------
        model : str
            ``name`` for the default version or ``name/version``.

        Returns
        -------
        Adapter or None
        """
        tables = self.state.tables
        return tables.defaults.get(model) or tables.adapters.get(model)

    def find_route(self, path: str) -> Route | None:
        """Return the route with the longest prefix of whole segments of `path`.

        Parameters
        ----------
        path : str
            Path of a request; the query string is ignored.

        Returns
        -------
        Route or None
            None also for a path that a target could interpret as another one, because
            of dotted or empty segments, or an encoded slash or backslash.
        """
        path = path.partition("?")[0]
        if not _is_unambiguous(path):
            return None
        routes = self.state.tables.routes
        while path:
            route = routes.get(path)
            if route is not None:
                return route
            path = path.rpartition("/")[0]
        return routes.get("/")

    def iter_organisations(self) -> Iterator[Organisation]:
        """Iterate over the organisations."""
        return iter(self.state.tables.organisations.values())

    def iter_stores(self) -> Iterator[Store]:
        """Iterate over the weight stores."""
        return iter(self.state.tables.stores.values())

    def iter_pools(self) -> Iterator[Pool]:
        """Iterate over the pools."""
        return iter(self.state.tables.pools.values())

    def iter_targets(self) -> Iterator[Target]:
        """Iterate over the targets, marked as leaving if they are drained."""
        for targets in self._targets_by_pool.values():
            yield from targets

    def get_pool_targets(self, pool: str) -> tuple[Target, ...]:
        """Return the targets of a pool in order of their names."""
        return self._targets_by_pool.get(pool, ())

    def iter_adapters(self, organisation: str | None = None) -> Iterator[Adapter]:
        """Iterate over adapter versions.

        Parameters
        ----------
        organisation : str or None
            Only the versions that the organisation may call, including those open to
            all; None for all versions.

        Yields
        ------
        Adapter
        """
        for adapter in self.state.tables.adapters.values():
            if organisation is None or adapter.organisation in ("", organisation):
                yield adapter

    @cached_property
    def _targets_by_pool(self) -> dict[str, tuple[Target, ...]]:
        pools: dict[str, list[Target]] = {}
        for name in sorted(self.state.tables.targets):
            target = self.get_target(name)
            if target is not None:
                pools.setdefault(target.pool, []).append(target)
        return {pool: tuple(targets) for pool, targets in pools.items()}


def _is_unambiguous(path: str) -> bool:
    decoded = unquote(path)
    if not decoded.startswith("/") or "\\" in decoded or "%" in decoded:
        return False
    if decoded.count("/") != path.count("/"):
        return False
    segments = decoded[1:].split("/")
    if segments[-1] == "":
        segments.pop()
    return not {"", ".", ".."} & set(segments)
