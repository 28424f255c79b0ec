"""What each host tells the others several times a second, and the view from it."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from thornlatch.core import register
from thornlatch.fleet._decay import DecayingSum, DecayingSums
from thornlatch.fleet._newest import NewestWords

SUM_PERIOD_S = 0.02  # between two sums over all peers, less than a digest's period


@dataclass(frozen=True)
class ResidentAdapter:
    """An adapter that a target holds or fetches.

    Parameters
    ----------
    name : str
    version : int
    ready_in_s : float
        Seconds from the digest until it can be used; 0 or less if it can now.
    is_queued : bool
        Whether its fetching hasn't begun.
    """

    name: str
    version: int
    ready_in_s: float = 0.0
    is_queued: bool = False


@dataclass(frozen=True)
class HeldTarget:
    """A target whose adapters the sender orders.

    Parameters
    ----------
    target : str
    started_ms : int
    fencing_token : int
    ordered_ago_s : float
        Seconds since the sender's last order to it.
    adapters : tuple of ResidentAdapter
    """

    target: str
    started_ms: int
    fencing_token: int
    ordered_ago_s: float
    adapters: tuple[ResidentAdapter, ...]


@register
@dataclass(frozen=True)
class HostDigest:
    """A host's own work, as of its sending.

    Parameters
    ----------
    sent_at : float
        Seconds of the sender's clock.
    running : tuple of (str, str, int)
        Target, adapter or empty, and requests of the sender that are there.
    spent : dict of str to int
        Organisation to tokens that the sender has spent since its start.
    levels : dict of str to int
        Organisation to tokens that the sender believes are left over all hosts.
    held : tuple of HeldTarget or None
        Those that changed since the digest before, and once a second all; None if
        nothing changed.
    held_names : tuple of str
        Targets whose adapters the sender orders.
    is_stopping : bool
    broken : dict of str to tuple of str
        Fingerprints of requests to the targets that broke them off.
    prompts : dict of str to int
        Target to prompt tokens that the sender sent to it lately.
    avoided : tuple of str
        Targets that failed the sender lately.
    reads : dict of str to (int, float)
        Topics of the store that the sender reads for others: offset up to which it has
        read, and seconds since that read began.
    """

    sent_at: float
    running: tuple[tuple[str, str, int], ...]
    spent: dict[str, int]
    levels: dict[str, int]
    held: tuple[HeldTarget, ...] | None
    held_names: tuple[str, ...]
    is_stopping: bool
    broken: dict[str, tuple[str, ...]]
    prompts: dict[str, int] = field(default_factory=dict)
    avoided: tuple[str, ...] = ()
    reads: dict[str, tuple[int, float]] = field(default_factory=dict)


@register
@dataclass(frozen=True)
class LoadRequested:
    """Asks a target's holder to load an adapter.

    Parameters
    ----------
    target : str
    adapter : str
        ``model/adapter``.
    version : int
        Lowest version that will do; 0 for any.
    priority : int
        Rank of the request that needs it, 0 first.
    was_missing : bool
        Whether the target denied holding it.
    is_copy : bool
        Whether another target holds it too, which is crowded.
    unusable : tuple of str
        Targets that hold it but have failed the asking host.
    """

    target: str
    adapter: str
    version: int
    priority: int
    was_missing: bool = False
    is_copy: bool = False
    unusable: tuple[str, ...] = ()


@register
@dataclass(frozen=True)
class LoadExpected:
    """Tells a host that asked for an adapter when it can use it.

    Parameters
    ----------
    target : str
    adapter : ResidentAdapter
    """

    target: str
    adapter: ResidentAdapter


@dataclass(frozen=True)
class PeerViewSettings:
    """How long a peer's digest is believed.

    Parameters
    ----------
    period_s : float
        Seconds between two digests of a host.
    silent_s : float
        Seconds without a digest after which a peer is taken as unreachable; longer
        where a large fleet makes digests rarer.
    """

    period_s: Annotated[float, Meta(gt=0)] = 0.05
    silent_s: Annotated[float, Meta(gt=0)] = 0.45


class PeerView:
    """The newest digest of each peer; touched by the peer thread, read by all.

    Parameters
    ----------
    settings : PeerViewSettings
    """

    def __init__(self, settings: PeerViewSettings) -> None:
        self.settings = settings
        self.digests: NewestWords[str, HostDigest] = NewestWords()
        self.live_at: dict[str, float] = {}
        self.held: dict[str, dict[str, tuple[HeldTarget, float]]] = {}
        self.running: dict[str, dict[str, int]] = {}
        self.holders: dict[str, str] = {}
        self.prompts = DecayingSums()
        self.avoiding: Counter[str] = Counter()
        self.sum_due_at = float("-inf")
        self.silent_s = settings.silent_s

    def apply_digest(self, host: str, digest: HostDigest, *, now: float) -> None:
        """Take a digest of a peer.

        Parameters
        ----------
        host : str
        digest : HostDigest
        now : float
        """
        is_first = host not in self.digests.heard
        if not self.digests.take(host, digest, now=now):
            return
        self.live_at = {**self.live_at, host: now}
        if digest.held is not None:
            news = {one.target: (one, now) for one in digest.held}
            self.held[host] = {**self.held.get(host, {}), **news}
        if is_first or digest.held is not None or now >= self.sum_due_at:
            self.sum_due_at = now + SUM_PERIOD_S
            self._sum_up(now)

    def forget(self, host: str) -> None:
        """Drop what a host that was replaced or has gone said.

        Parameters
        ----------
        host : str
        """
        self.digests.keep(self.digests.heard.keys() - {host})
        self.live_at = {name: at for name, at in self.live_at.items() if name != host}
        self.held.pop(host, None)

    def iter_live(self, *, now: float) -> list[str]:
        """Return the hosts heard of recently.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of str
        """
        return [h for h in self.live_at if self.is_live(h, now=now)]

    def is_live(self, host: str, *, now: float) -> bool:
        """Return whether a host was heard of recently.

        Parameters
        ----------
        host : str
        now : float

        Returns
        -------
        bool
        """
        return now - self.live_at.get(host, float("-inf")) < self.silent_s

    def get_holder(self, target: str, *, now: float) -> str | None:
        """Return the live host that orders a target's adapters.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        str or None
        """
        holder = self.holders.get(target)
        if holder is None or not self.is_live(holder, now=now):
            return None
        return holder

    def count_peer_requests(self, target: str) -> int:
        """Return how many requests of all peers are at a target.

        Parameters
        ----------
        target : str

        Returns
        -------
        int
        """
        return self.running.get(target, {}).get("", 0)

    def get_recent_prompt_tokens(self, target: str, *, now: float) -> float:
        """Return the prompt tokens that all peers sent to a target lately.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        float
            The older a prompt, the less it counts.
        """
        return self.prompts.get(target, now=now)

    def count_peers_avoiding(self, target: str) -> int:
        """Return how many peers a target failed lately.

        Parameters
        ----------
        target : str

        Returns
        -------
        int
        """
        return self.avoiding[target]

    def count_peer_requests_by_adapter(self, target: str) -> dict[str, int]:
        """Return requests of all peers at a target by adapter.

        Parameters
        ----------
        target : str

        Returns
        -------
        dict of str to int
            The sum stands under the empty name.
        """
        return self.running.get(target, {})

    def get_holder_report(self, target: str) -> tuple[HeldTarget, float] | None:
        """Return what a target's holder said of it last, and when it was heard.

        Parameters
        ----------
        target : str

        Returns
        -------
        (HeldTarget, float) or None
        """
        holder = self.holders.get(target)
        return self.held.get(holder, {}).get(target) if holder else None

    def _sum_up(self, now: float) -> None:
        running: dict[str, dict[str, int]] = {}
        tokens: dict[str, int] = {}
        holders: dict[str, str] = {}
        prompts = DecayingSums()
        avoiding: Counter[str] = Counter()
        for host, heard in self.digests.heard.items():
            if not self.is_live(host, now=now):
                continue
            digest = heard.word
            for target, adapter, count in digest.running:
                uses = running.setdefault(target, {})
                uses[adapter] = uses.get(adapter, 0) + count
                if adapter:
                    uses[""] = uses.get("", 0) + count
            avoiding.update(digest.avoided)
            for target, sent in digest.prompts.items():
                left = DecayingSum(sent, heard.heard_at).get(now=now)
                prompts.add(target, left, now=now)
            for name in digest.held_names:
                held = self.held.get(host, {}).get(name)
                token = held[0].fencing_token if held else 0
                if token >= tokens.get(name, -1):
                    tokens[name] = token
                    holders[name] = host
        self.running = running
        self.prompts = prompts
        self.avoiding = avoiding
        self.holders = holders
