"""Adapter versions announced by operators, and which versions requests may use."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta


@dataclass(frozen=True)
class VersionSettings:
    """How long the former version of an adapter may be used.

    Parameters
    ----------
    replace_s : float
        Seconds after an announcement from which each request must start on the new
        version.
    margin_s : float
        Seconds of `replace_s` reserved for the time between sending a request and its
        start at the target.
    """

    replace_s: Annotated[float, Meta(gt=0)] = 5.0
    margin_s: Annotated[float, Meta(ge=0)] = 1.5


@dataclass(frozen=True)
class _Announcement:
    version: int
    announced_at: float
    former: int


class AdapterVersions:
    """Tracks the newest and the former version of each announced adapter.

    One reader thread calls `announce`; request threads read.

    Parameters
    ----------
    settings : VersionSettings
    """

    def __init__(self, settings: VersionSettings) -> None:
        self.settings = settings
        self.announced: dict[str, _Announcement] = {}

    def announce(self, adapter: str, version: int, *, now: float) -> bool:
        """Record a version, unless a newer or the same one is known.

        Parameters
        ----------
        adapter : str
            ``model/adapter``.
        version : int
        now : float
            Time of the announcement; minus infinity if it isn't known.

        Returns
        -------
        bool
            Whether the version was recorded.
        """
        latest = self.announced.get(adapter)
        if latest is not None and version <= latest.version:
            return False
        former = latest.version if latest is not None else 0
        self.announced[adapter] = _Announcement(version, now, former)
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
        latest = self.announced.get(adapter)
        return latest.version if latest is not None else 0

    def get_required(self, adapter: str, *, now: float) -> int:
        """Return the lowest version that a request may start on.

        Parameters
        ----------
        adapter : str
        now : float

        Returns
        -------
        int
            0 for any.
        """
        latest = self.announced.get(adapter)
        if latest is None:
            return 0
        limit_s = self.settings.replace_s - self.settings.margin_s
        return latest.version if now - latest.announced_at >= limit_s else latest.former

    def get_age(self, adapter: str, *, now: float) -> float:
        """Return the seconds since the newest version was announced.

        Parameters
        ----------
        adapter : str
        now : float

        Returns
        -------
        float
            Infinity if none was announced.
        """
        latest = self.announced.get(adapter)
        return now - latest.announced_at if latest is not None else float("inf")
