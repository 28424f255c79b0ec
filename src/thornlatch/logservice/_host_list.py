"""Client of the platform's lagging list of live and leaving hosts."""

import http.client
import json
from dataclasses import dataclass
from typing import Any

import msgspec

from thornlatch.logservice._clients import PlatformError, PlatformSettings

LIST_LIMIT_BYTES = 4 << 20


@dataclass(frozen=True)
class HostList:
    """What the platform said of all hosts some seconds ago.

    Parameters
    ----------
    live : frozenset of str
        Names or IP numbers.
    leaving : frozenset of str
        Those that will go; some may still be in `live`.
    """

    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()

    def is_leaving(self, name: str, address: str) -> bool:
        """Return whether a host is listed as leaving.

        Parameters
        ----------
        name : str
        address : str
            ``ip:port``; the list may have it with or without the port.

        Returns
        -------
        bool
        """
        ip = address.rpartition(":")[0].strip("[]")
        return not self.leaving.isdisjoint((name, address, ip))


class HostListClient:
    """Reads the list; an unchanged one costs no body.

    Parameters
    ----------
    settings : PlatformSettings
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        self.connection: http.client.HTTPConnection | None = None
        self.tag = ""
        self.last = HostList()

    def read(self) -> HostList:
        """Return the list as the platform has it now.

        Returns
        -------
        HostList

        Raises
        ------
        PlatformError
            If the service doesn't answer with a list.
        """
        try:
            response = self._get()
            data = response.read(LIST_LIMIT_BYTES)
        except (OSError, http.client.HTTPException) as error:
            self.close()
            raise PlatformError(
                f"host list didn't answer: {error!r}", is_outcome_unknown=False
            ) from error
        if response.status == http.client.NOT_MODIFIED:
            return self.last
        if response.status != http.client.OK:
            raise PlatformError(
                f"host list answered {response.status}",
                is_outcome_unknown=False,
                status=response.status,
            )
        self.last = parse_host_list(data)
        self.tag = response.getheader("ETag", "")
        return self.last

    def close(self) -> None:
        """Close the connection; the next read opens another."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _get(self) -> http.client.HTTPResponse:
        if self.connection is None:
            self.connection = http.client.HTTPConnection(
                self.settings.host_list, timeout=self.settings.timeout_s
            )
        headers = {"If-None-Match": self.tag} if self.tag else {}
        self.connection.request("GET", "/hosts", headers=headers)
        return self.connection.getresponse()


def parse_host_list(data: bytes) -> HostList:
    """Check a list as the platform sent it.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    HostList

    Raises
    ------
    PlatformError
        If it isn't an object with two lists of names.
    """
    try:
        value: Any = json.loads(data)
        return msgspec.convert(value, HostList)
    except (ValueError, RecursionError) as error:
        raise PlatformError(
            f"malformed host list: {error}", is_outcome_unknown=False
        ) from error
