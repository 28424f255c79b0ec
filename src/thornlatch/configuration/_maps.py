"""Persistent map, whose modified copies share unchanged entries."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Generic, TypeVar

V = TypeVar("V")

MAX_OVERLAY_ENTRIES = 256
_REMOVED = object()


class PersistentMap(Mapping[str, V], Generic[V]):
    """Immutable map; a modified copy copies a small overlay, not all entries.

    Parameters
    ----------
    base : Mapping or None
        Initial entries; copies share them and never modify them.
    """

    __slots__ = ("_base", "_length", "_overlay")

    def __init__(self, base: Mapping[str, V] | None = None) -> None:
        self._base: dict[str, V] = dict(base or {})
        self._overlay: dict[str, object] = {}
        self._length = len(self._base)

    def with_changes(
        self, upserts: Mapping[str, V], removals: Iterable[str] = ()
    ) -> "PersistentMap[V]":
        """Return a copy with entries removed, then added or replaced.

        Parameters
        ----------
        upserts : Mapping
        removals : iterable of str
            Keys that are absent are ignored.

        Returns
        -------
        PersistentMap
        """
        overlay: dict[str, object] = {**self._overlay}
        overlay.update((key, _REMOVED) for key in removals if key in self)
        overlay.update(upserts)
        if not overlay or overlay == self._overlay:
            return self
        copy: PersistentMap[V] = PersistentMap.__new__(PersistentMap)
        copy._base = self._base
        copy._overlay = overlay
        if len(overlay) > MAX_OVERLAY_ENTRIES:
            copy._base = _merge(self._base, overlay)
            copy._overlay = {}
        copy._length = _count(copy._base, copy._overlay)
        return copy

    def __getitem__(self, key: str) -> V:
        value = self._overlay.get(key, self)
        if value is self:
            return self._base[key]
        if value is _REMOVED:
            raise KeyError(key)
        return value  # type: ignore[return-value]

    def __contains__(self, key: object) -> bool:
        value = self._overlay.get(key, self)  # type: ignore[call-overload]
        return key in self._base if value is self else value is not _REMOVED

    def __iter__(self) -> Iterator[str]:
        for key in self._base:
            if key not in self._overlay:
                yield key
        for key, value in self._overlay.items():
            if value is not _REMOVED:
                yield key

    def __len__(self) -> int:
        return self._length


def _merge(base: dict[str, V], overlay: dict[str, object]) -> dict[str, V]:
    merged = {**base, **overlay}
    return {k: v for k, v in merged.items() if v is not _REMOVED}  # type: ignore[misc]


def _count(base: dict[str, V], overlay: dict[str, object]) -> int:
    added = sum(
        1 for key, value in overlay.items() if key not in base and value is not _REMOVED
    )
    removed = sum(
        1 for key, value in overlay.items() if key in base and value is _REMOVED
    )
    return len(base) + added - removed
