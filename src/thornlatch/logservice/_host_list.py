"""Client of the platform's list of live and leaving hosts, which may be stale."""

import http.client
import json
from dataclasses import dataclass
from typing import Any

import msgspec

from thornlatch.core import connect, read_answer
from thornlatch.logservice._clients import (
    BODY_TIMEOUT_S,
    PlatformError,
    PlatformSettings,
)

LIST_LIMIT_BYTES = 4 << 20


@dataclass(frozen=True)
class HostList:
    """State of all hosts as the platform reports it, some seconds old.

    Parameters
    ----------
    live : frozenset of str
        Names or IP addresses.
    leaving : frozenset of str
        Hosts that are about to leave; some may still be in `live`.
    """

    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()

    def is_leaving(self, name: str, address: str) -> bool:
        """Return whether a host is listed as leaving.

        Parameters
        ----------
        name : str
        address : str
            ``ip:port``; the list may contain it with or without the port.

        Returns
        -------
        bool
        """
        ip = address.rpartition(":")[0].strip("[]")
        return not self.leaving.isdisjoint((name, address, ip))


class HostListClient:
    """Reads the host list; an unchanged list is not transferred again.

    Parameters
    ----------
    settings : PlatformSettings
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        self.connection: http.client.HTTPConnection | None = None
        self.etag = ""
        self.last_list = HostList()

    def read(self) -> HostList:
        """Return the current host list of the platform.

        Returns
        -------
        HostList

        Raises
        ------
        PlatformError
            If the service doesn't answer, or answers with an error status or a
            malformed list.
        """
        try:
            response, data = self._get()
        except (OSError, http.client.HTTPException) as error:
            self.close()
            raise PlatformError(
                f"host list at {self.settings.host_list} didn't answer: {error!r}",
                is_outcome_unknown=False,
            ) from error
        if response.status == http.client.NOT_MODIFIED:
            return self.last_list
        if response.status != http.client.OK:
            raise PlatformError(
                f"host list at {self.settings.host_list} answered with HTTP status"
                f" {response.status}",
                is_outcome_unknown=False,
                status=response.status,
            )
        self.last_list = parse_host_list(data)
        self.etag = response.getheader("ETag", "")
        return self.last_list

    def close(self) -> None:
        """Close the connection; the next read opens a new one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _get(self) -> tuple[http.client.HTTPResponse, bytes]:
        timeout_s = self.settings.timeout_s
        # An answer may have closed it.
        if self.connection is None or self.connection.sock is None:
            self.connection = connect(self.settings.host_list, timeout_s=timeout_s)
        self.connection.sock.settimeout(timeout_s)
        headers = {"If-None-Match": self.etag} if self.etag else {}
        self.connection.request("GET", "/hosts", headers=headers)
        return read_answer(
            self.connection,
            head_s=timeout_s,
            body_s=BODY_TIMEOUT_S,
            limit=LIST_LIMIT_BYTES,
        )


def parse_host_list(data: bytes) -> HostList:
    """Validate a host list sent by the platform.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    HostList

    Raises
    ------
    PlatformError
        If it isn't a JSON object with two lists of names.
    """
    try:
        value: Any = json.loads(data)
        return msgspec.convert(value, HostList)
    except (ValueError, RecursionError) as error:
        raise PlatformError(
            f"malformed host list: {error}", is_outcome_unknown=False
        ) from error
