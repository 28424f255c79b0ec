"""What this host has seen of each target: failures, load and service times."""

import threading
from dataclasses import dataclass

from thornlatch.gateway._settings import ForwardingSettings

SMOOTHING = 0.1  # weight of the newest observation in a running mean
FIRST_SERVICE_S = 1.5  # of a request, until one has been observed
FAILURE_RATIO_LIMIT = 0.3  # share of failed requests above which a target is avoided
FIRST_PREFILL_S = 3e-5  # a prompt token, until prompts have been observed
PREFILL_TOKENS = 300  # shortest prompt that says something of the time a token takes
# The fastest observations are those of prompts that waited for no others.
PREFILL_FASTER, PREFILL_SLOWER = 0.2, 0.01
LOAD_AGE_S = 0.5  # a target's own figure is as old as its last answer


@dataclass
class _Seen:
    failures: int = 0
    avoid_until: float = float("-inf")
    failure_ratio: float = 0.0
    load: tuple[int, int, int] | None = None
    load_at: float = float("-inf")


class TargetHealth:
    """Keeps observations of targets; safe for threads.

    Parameters
    ----------
    settings : ForwardingSettings
    """

    def __init__(self, settings: ForwardingSettings) -> None:
        self.settings = settings
        self.lock = threading.Lock()
        self.seen: dict[str, _Seen] = {}
        self.service_s: dict[str, float] = {}
        self.prefill_s: dict[str, float] = {}

    def note_success(
        self, target: str, load: tuple[int, int, int] | None, *, now: float
    ) -> None:
        """Note an answer.

        Parameters
        ----------
        target : str
        load : (int, int, int) or None
            Running and waiting requests and slots, as the target said.
        now : float
        """
        with self.lock:
            seen = self.seen.setdefault(target, _Seen())
            seen.failures = 0
            seen.failure_ratio *= 1 - SMOOTHING
            if load is not None:
                seen.load, seen.load_at = load, now

    def note_failure(self, target: str, *, now: float, is_unreachable: bool) -> float:
        """Note a failure; return for how long the target is avoided.

        Parameters
        ----------
        target : str
        now : float
        is_unreachable : bool
            Whether no answer came at all.

        Returns
        -------
        float
            Seconds; 0 if it isn't avoided.
        """
        settings = self.settings
        with self.lock:
            seen = self.seen.setdefault(target, _Seen())
            seen.failure_ratio += SMOOTHING * (1 - seen.failure_ratio)
            if not is_unreachable and seen.failure_ratio < FAILURE_RATIO_LIMIT:
                return 0.0
            seen.failures += 1
            avoid_s = settings.avoid_s * 2 ** min(seen.failures - 1, 8)
            avoid_s = min(avoid_s, settings.avoid_limit_s)
            seen.avoid_until = now + avoid_s
            return avoid_s

    def note_service(self, service: str, elapsed_s: float) -> None:
        """Note how long a request took from its sending to its end.

        Parameters
        ----------
        service : str
        elapsed_s : float
        """
        with self.lock:
            mean = self.service_s.get(service, FIRST_SERVICE_S)
            self.service_s[service] = mean + SMOOTHING * (elapsed_s - mean)

    def note_prefill(self, service: str, tokens: int, elapsed_s: float) -> None:
        """Note how long a prompt took from its sending to the first event.

        Parameters
        ----------
        service : str
        tokens : int
        elapsed_s : float
        """
        if tokens < PREFILL_TOKENS:
            return
        with self.lock:
            known = self.prefill_s.get(service, FIRST_PREFILL_S)
            seen = elapsed_s / tokens
            weight = PREFILL_FASTER if seen < known else PREFILL_SLOWER
            # One slow answer says little, however slow it was.
            self.prefill_s[service] = known + weight * (min(seen, 2 * known) - known)

    def get_prefill_s(self, service: str) -> float:
        """Return the seconds that a service's targets take for a prompt token.

        Parameters
        ----------
        service : str

        Returns
        -------
        float
        """
        return self.prefill_s.get(service, FIRST_PREFILL_S)

    def get_service_s(self, service: str) -> float:
        """Return the mean time of a request at a service's targets, in seconds.

        Parameters
        ----------
        service : str

        Returns
        -------
        float
        """
        return self.service_s.get(service, FIRST_SERVICE_S)

    def is_avoided(self, target: str, *, now: float) -> bool:
        """Return whether a target failed lately.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        bool
        """
        seen = self.seen.get(target)
        return seen is not None and now < seen.avoid_until

    def list_avoided(self, *, now: float) -> tuple[str, ...]:
        """Return the targets that failed lately, as digests carry them.

        Parameters
        ----------
        now : float

        Returns
        -------
        tuple of str
        """
        with self.lock:
            return tuple(n for n, seen in self.seen.items() if now < seen.avoid_until)

    def get_reported_requests(self, target: str, *, now: float) -> int:
        """Return the requests that a target named as its own, if lately.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        int
        """
        seen = self.seen.get(target)
        if seen is None or seen.load is None or now - seen.load_at >= LOAD_AGE_S:
            return 0
        return seen.load[0] + seen.load[1]

    def forget(self, target: str) -> None:
        """Drop what was seen of a target that has gone or restarted.

        Parameters
        ----------
        target : str
        """
        with self.lock:
            self.seen.pop(target, None)
