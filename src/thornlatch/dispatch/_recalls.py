"""Recalls of grants, repeated until the host returns them."""

from collections.abc import Callable

from thornlatch.core import Action, Send
from thornlatch.dispatch._messages import GrantRecalled
from thornlatch.dispatch._settings import DispatchSettings
from thornlatch.dispatch._table import GrantRecord, GrantTable


class Recalls:
    """Recalls grants on leaving targets and kept grants that other requests need.

    Parameters
    ----------
    settings : DispatchSettings
    pool : str
    table : GrantTable
    """

    def __init__(
        self, settings: DispatchSettings, pool: str, table: GrantTable
    ) -> None:
        self.settings = settings
        self.pool = pool
        self.table = table

    def recall(self, record: GrantRecord, now: float) -> list[Action]:
        """Recall one grant."""
        record.recalled_at = now
        return [Send(record.host, GrantRecalled(self.pool, record.grant))]

    def recall_idle(self, targets: set[str], now: float) -> list[Action]:
        """Recall one kept grant on any of `targets`, for a waiting request."""
        for record in self.table.grants.values():
            is_useful = record.is_idle and record.target in targets
            if is_useful and self._is_due(record, now):
                return self.recall(record, now)
        return []

    def recall_all(
        self, is_leaving: Callable[[str], bool], *, is_contended: bool, now: float
    ) -> list[Action]:
        """Recall the grants on leaving targets, and under contention all kept ones.

        Parameters
        ----------
        is_leaving : callable
            Returns whether a target is leaving, by name.
        is_contended : bool
            Whether requests are waiting.
        now : float
            Seconds.

        Returns
        -------
        list of Action
        """
        actions: list[Action] = []
        for record in self.table.grants.values():
            is_needed = record.is_idle and is_contended
            if not is_needed and not is_leaving(record.target):
                continue
            if self._is_due(record, now):
                actions += self.recall(record, now)
        return actions

    def _is_due(self, record: GrantRecord, now: float) -> bool:
        sent_at = record.recalled_at
        return sent_at is None or now - sent_at >= self.settings.resend_s
