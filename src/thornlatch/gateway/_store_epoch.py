"""The epoch of the platform's store, which rises when it is restored from a copy."""

import threading
from collections.abc import Callable

import logbook

from thornlatch.fleet import UNKNOWN_EPOCH

logger = logbook.Logger("thornlatch.gateway")

# Keeps fencing tokens of the highest epoch exact in JSON, where numbers may be doubles.
MAX_EPOCH = (1 << 21) - 1
LOGGED_VALUES = 20  # of those that aren't an epoch


class StoreEpochs:
    """Highest store epoch that this host has heard of; thread-safe.

    Parameters
    ----------
    on_changed : callable
        Called with the previous and the new epoch. The new one becomes visible
        afterwards, so that nobody acts on it before what depends on it is updated.
    """

    def __init__(
        self, on_changed: Callable[[int, int], None] = lambda previous, epoch: None
    ) -> None:
        self.on_changed = on_changed
        self.lock = threading.Lock()
        self.current = UNKNOWN_EPOCH
        self.invalid_values: set[str] = set()

    def observe(self, epoch: int) -> None:
        """Record an epoch from an answer of the store or a message of a peer.

        Parameters
        ----------
        epoch : int
        """
        if epoch <= self.current:
            return
        with self.lock:
            if epoch > self.current:
                self.on_changed(self.current, epoch)
                self.current = epoch

    def note_invalid(self, value: str, expected: str) -> None:
        """Log a value that isn't an epoch, once; the highest known epoch holds.

        Parameters
        ----------
        value, expected : str
        """
        with self.lock:
            is_logged = value in self.invalid_values
            if is_logged or len(self.invalid_values) >= LOGGED_VALUES:
                return
            self.invalid_values.add(value)
        logger.warning(
            "store.epoch_invalid",
            extra={"value": value[:40], "expected": expected, "epoch": self.current},
        )
