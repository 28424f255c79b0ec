"""Versions of adapters that operators announced, and which may still be used."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta


@dataclass(frozen=True)
class VersionSettings:
    """How long an older version may still be used.

    Parameters
    ----------
    replace_s : float
        Seconds after an announcement until which each request must begin on it.
    margin_s : float
        Seconds of `replace_s` that are left for requests to begin after their sending.
    """

    replace_s: Annotated[float, Meta(gt=0)] = 5.0
    margin_s: Annotated[float, Meta(ge=0)] = 1.5


@dataclass(frozen=True)
class _Announced:
    version: int
    announced_at: float
    former: int


class AdapterVersions:
    """Knows the newest version of each announced adapter.

    One reader thread announces; request threads read.

    Parameters
    ----------
    settings : VersionSettings
    """

    def __init__(self, settings: VersionSettings) -> None:
        self.settings = settings
        self.announced: dict[str, _Announced] = {}

    def announce(self, adapter: str, version: int, *, now: float) -> bool:
        """Note a version; an older one changes nothing.

        Parameters
        ----------
        adapter : str
            ``model/adapter``.
        version : int
        now : float
            Time of the announcement, or minus infinity if it isn't known.

        Returns
        -------
        bool
            Whether it is the newest.
        """
        known = self.announced.get(adapter)
        if known is not None and version <= known.version:
            return False
        former = known.version if known is not None else 0
        self.announced[adapter] = _Announced(version, now, former)
        return True

    def get_newest(self, adapter: str) -> int:
        """Return the newest version, or 0 if none was announced.

        Parameters
        ----------
        adapter : str

        Returns
        -------
        int
        """
        known = self.announced.get(adapter)
        return known.version if known is not None else 0

    def get_required(self, adapter: str, *, now: float) -> int:
        """Return the lowest version that a request may begin on.

        Parameters
        ----------
        adapter : str
        now : float

        Returns
        -------
        int
            0 for any.
        """
        known = self.announced.get(adapter)
        if known is None:
            return 0
        limit_s = self.settings.replace_s - self.settings.margin_s
        return known.version if now - known.announced_at >= limit_s else known.former

    def get_age(self, adapter: str, *, now: float) -> float:
        """Return seconds since the newest version was announced.

        Parameters
        ----------
        adapter : str
        now : float

        Returns
        -------
        float
            Infinity if none was.
        """
        known = self.announced.get(adapter)
        return now - known.announced_at if known is not None else float("inf")
