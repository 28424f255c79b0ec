"""Reads the platform's host list outside the control thread."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import logbook

from thornlatch.core import Action
from thornlatch.logservice import (
    HostList,
    HostListClient,
    PlatformError,
    PlatformSettings,
)

logger = logbook.Logger("thornlatch.hosts")


class HostListReader:
    """Reads the host list at intervals and hands it to the control thread.

    The last list stays in force while the platform doesn't answer, so that a leaving
    target gets no new requests in an outage.

    Parameters
    ----------
    settings : PlatformSettings
        Nothing is read if they name no host list.
    submit : callable
        Runs a command in the control thread.
    on_list : callable
        Takes the list and `now`, in the control thread. Called for unchanged lists too,
        as the inventory may have changed.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        *,
        submit: Callable[[Callable[[float], list[Action]]], None],
        on_list: Callable[[HostList, float], list[Action]],
    ) -> None:
        self.settings = settings
        self.submit = submit
        self.on_list = on_list
        self.client = HostListClient(settings)
        self.stopped = threading.Event()
        self.is_failing = False
        self.executor = ThreadPoolExecutor(1, "host-list")

    def start(self) -> None:
        """Start reading, if the settings name a list."""
        if self.settings.host_list:
            self.executor.submit(self.run)

    def stop(self) -> None:
        """End the reading thread."""
        self.stopped.set()
        self.executor.shutdown(wait=False)

    def run(self) -> None:
        """Read at intervals until stopped."""
        while not self.stopped.is_set():
            self.read_once()
            self.stopped.wait(self.settings.host_list_every_s)
        self.client.close()

    def read_once(self) -> None:
        """Read the list once; only the first of consecutive failures is logged."""
        try:
            hosts = self.client.read()
        except PlatformError as error:
            if not self.is_failing:
                logger.warning("hosts.read_failed", extra={"error": error.message})
            self.is_failing = True
            return
        self.is_failing = False
        self.submit(lambda now: self.on_list(hosts, now))
