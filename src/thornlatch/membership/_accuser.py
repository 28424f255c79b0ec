"""Tracking of the accusations that this host has appended to the log."""

from thornlatch.membership._view import Accusation, MembershipView

APPEND_RETRY_S = 1.0


class Accuser:
    """Tracks this host's accusations until each ends in a defence or an expulsion.

    An append may reach the log at any later time, even if it seemed to fail. An
    accusation therefore counts as pending until a defence that is read from the log
    invalidates every record sent before it.

    Parameters
    ----------
    host : str
        Host id of this process.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.sent_view_offsets: dict[str, int] = {}
        self.retry_at: dict[str, float] = {}
        self.unanswered_since: dict[str, float] = {}

    def has_pending_accusation(self, host: str, view: MembershipView) -> bool:
        """Return whether an accusation against `host` is open or may still arrive."""
        sent = self.sent_view_offsets.get(host)
        return sent is not None and sent >= view.defence_offsets.get(host, -1)

    def is_due(
        self, host: str, view: MembershipView, *, is_suspect: bool, now: float
    ) -> bool:
        """Return whether to append an accusation against `host`, or to retry one."""
        if now < self.retry_at.get(host, now):
            return False
        accusation = view.find_accusation(host, self.host)
        if accusation is None:
            return is_suspect or self.has_pending_accusation(host, view)
        return is_suspect and accusation.view_offset < view.electorate_offset

    def note_sent(self, host: str, view: MembershipView, *, now: float) -> None:
        """Record that an accusation with the current view offset is sent."""
        self.sent_view_offsets[host] = view.offset
        self.retry_at[host] = now + APPEND_RETRY_S

    def update(self, view: MembershipView, *, now: float) -> list[str]:
        """Apply the view and return the hosts whose defence was read.

        Parameters
        ----------
        view : MembershipView
        now : float

        Returns
        -------
        list of str
        """
        for host in [h for h in self.sent_view_offsets if h not in view.members]:
            self._discard(host)
        defended = [
            h
            for h in self.sent_view_offsets
            if not self.has_pending_accusation(h, view)
        ]
        for host in defended:
            self._discard(host)
        for host in self.sent_view_offsets:
            if view.find_accusation(host, self.host) is not None:
                self.unanswered_since.setdefault(host, now)
        return defended

    def restart_defence_timers(self, *, now: float) -> None:
        """Restart the time to defend of all accused hosts, after an outage or pause."""
        for host in self.unanswered_since:
            self.unanswered_since[host] = now

    def find_unanswered(
        self, host: str, view: MembershipView, *, timeout_s: float, now: float
    ) -> Accusation | None:
        """Return this host's accusation against `host` once it has timed out."""
        since = self.unanswered_since.get(host)
        if since is None or now - since < timeout_s:
            return None
        return view.find_accusation(host, self.host)

    def _discard(self, host: str) -> None:
        for table in (self.sent_view_offsets, self.retry_at, self.unanswered_since):
            table.pop(host, None)
