"""Accusations that this host has sent, and what follows from them."""

from thornlatch.membership._view import Accusation, ViewFold

RETRY_S = 1.0


class Accuser:
    """Own accusations, from the sending of a record to its defence or expulsion.

    A record that was sent may land at any later time. Thus an accusation lasts until
    a defence read from the log makes every record sent so far void.

    Parameters
    ----------
    host : str
        Host id of this process.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.sent_view: dict[str, int] = {}
        self.retry_at: dict[str, float] = {}
        self.unanswered_since: dict[str, float] = {}

    def is_accusing(self, host: str, view: ViewFold) -> bool:
        """Return whether an accusation against `host` is open or may still land."""
        sent = self.sent_view.get(host)
        return sent is not None and sent >= view.fences.get(host, -1)

    def is_due(
        self, host: str, view: ViewFold, *, is_suspect: bool, now: float
    ) -> bool:
        """Return whether to send an accusation against `host`, first or again."""
        if now < self.retry_at.get(host, now):
            return False
        open_ = view.find_accusation(host, self.host)
        if open_ is None:
            return is_suspect or self.is_accusing(host, view)
        return is_suspect and open_.view_offset < view.electorate_offset

    def note_sent(self, host: str, view: ViewFold, *, now: float) -> None:
        """Note that an accusation with the current view offset is sent."""
        self.sent_view[host] = view.offset
        self.retry_at[host] = now + RETRY_S

    def update(self, view: ViewFold, *, now: float) -> list[str]:
        """Follow the view; return the hosts whose defence was read.

        Parameters
        ----------
        view : ViewFold
        now : float

        Returns
        -------
        list of str
        """
        for host in [h for h in self.sent_view if h not in view.members]:
            self._forget(host)
        defended = [h for h in self.sent_view if not self.is_accusing(h, view)]
        for host in defended:
            self._forget(host)
        for host in self.sent_view:
            if view.find_accusation(host, self.host) is not None:
                self.unanswered_since.setdefault(host, now)
        return defended

    def restart_defences(self, *, now: float) -> None:
        """Give every accused host its full time after an outage or a pause."""
        for host in self.unanswered_since:
            self.unanswered_since[host] = now

    def find_unanswered(
        self, host: str, view: ViewFold, *, patience_s: float, now: float
    ) -> Accusation | None:
        """Return the own accusation against `host` once its time has run out."""
        since = self.unanswered_since.get(host)
        if since is None or now - since < patience_s:
            return None
        return view.find_accusation(host, self.host)

    def _forget(self, host: str) -> None:
        for table in (self.sent_view, self.retry_at, self.unanswered_since):
            table.pop(host, None)
