"""Queue of the requests of one organisation that wait for a share at one host."""

from collections import deque
from dataclasses import dataclass
from math import inf

from thornlatch.admission._local_share import LocalShare, Need
from thornlatch.admission._settings import AdmissionSettings
from thornlatch.admission._shares import MICROTOKENS


@dataclass(frozen=True)
class WaitingRequest:
    """A request that waits for a share.

    Parameters
    ----------
    ticket : str
    tokens : float
    cost : int
        Microtokens.
    since : float
        Seconds at which it began to wait.
    expires_at : float
        Seconds at which it is refused if the key's owner reports the rate as exhausted.
    latest_expiry : float
        Seconds at which it is refused in any case.
    """

    ticket: str
    tokens: float
    cost: int
    since: float
    expires_at: float
    latest_expiry: float


class WaitingQueue:
    """First-in, first-out queue, so that small requests don't starve large ones.

    Parameters
    ----------
    local_share : LocalShare
    settings : AdmissionSettings
    """

    def __init__(self, local_share: LocalShare, settings: AdmissionSettings) -> None:
        self.local_share = local_share
        self.settings = settings
        self.requests: deque[WaitingRequest] = deque()
        self.cost = 0
        self.grace_until = -inf
        self.next_expiry = inf

    def append(self, request: WaitingRequest) -> None:
        """Add a request at the end."""
        self.requests.append(request)
        self.cost += request.cost
        self.next_expiry = min(self.next_expiry, request.expires_at)
        self.update_need()

    def remove(self, ticket: str) -> None:
        """Remove a request if it is in the queue."""
        self.drop([r for r in self.requests if r.ticket == ticket])

    def pop_admitted(self, *, now: float) -> list[WaitingRequest]:
        """Remove requests from the head while the bucket covers their cost."""
        admitted: list[WaitingRequest] = []
        while self.requests:
            request = self.requests[0]
            if not self.local_share.spend(request.cost, now=now):
                break
            self.requests.popleft()
            self.cost -= request.cost
            admitted.append(request)
        if admitted:
            self.update_need()
        return admitted

    def pop_expired(self, *, is_undecided: bool, now: float) -> list[WaitingRequest]:
        """Remove the requests whose waiting time has expired.

        Parameters
        ----------
        is_undecided : bool
            Whether no owner has said lately that the rate is exhausted. Requests within
            the rate must not be refused for that, so they wait for a share.
        now : float
            Seconds.

        Returns
        -------
        list of WaitingRequest
        """
        if is_undecided:
            # An owner that answers again gets the usual time to grant shares.
            self.grace_until = now + self.settings.share_wait_s
        if now < self.next_expiry:
            return []
        is_extended = now < self.grace_until
        expired = [
            request
            for request in self.requests
            if (request.latest_expiry if is_extended else request.expires_at) <= now
        ]
        self.drop(expired)
        self.next_expiry = min((r.expires_at for r in self.requests), default=inf)
        return expired

    def pop_unservable_last(self, *, now: float) -> list[WaitingRequest]:
        """Remove the last request if it can't be admitted in time."""
        if not self.requests:
            return []
        request = self.requests[-1]
        if not self.is_unservable(request, self.cost - request.cost, now=now):
            return []
        return self.drop([request])

    def pop_unservable(self, *, now: float) -> list[WaitingRequest]:
        """Remove the requests that can't be admitted in time."""
        unservable = []
        ahead = 0
        for request in self.requests:
            if self.is_unservable(request, ahead, now=now):
                unservable.append(request)
            else:
                ahead += request.cost
        return self.drop(unservable)

    def is_unservable(self, request: WaitingRequest, ahead: int, *, now: float) -> bool:
        """Return whether a request behind `ahead` microtokens will be too late."""
        allowance = self.local_share.allowance
        left_s = max(0.0, request.expires_at - now)
        whole_rate = allowance.rate * MICROTOKENS
        if ahead + request.cost > allowance.depth + whole_rate * left_s:
            return True
        if now >= self.local_share.exhausted_until:
            return False
        bucket = self.local_share.holding.bucket
        bucket.refresh(now=now)
        if request.cost > bucket.depth:
            return True
        return ahead + request.cost - bucket.level > bucket.rate * left_s

    def compute_wait(self, cost: int, *, now: float) -> float:
        """Return the estimated seconds until a request of this cost is admitted."""
        bucket = self.local_share.holding.bucket
        bucket.refresh(now=now)
        whole_rate = self.local_share.allowance.rate * MICROTOKENS
        rate = max(bucket.rate, whole_rate / 100)
        return max(0.0, self.cost + cost - bucket.level) / rate if rate else 0.0

    def drop(self, requests: list[WaitingRequest]) -> list[WaitingRequest]:
        """Remove requests and return them."""
        if not requests:
            return []
        tickets = {request.ticket for request in requests}
        self.requests = deque(r for r in self.requests if r.ticket not in tickets)
        self.cost = sum(request.cost for request in self.requests)
        self.update_need()
        return requests

    def update_need(self) -> None:
        """Update the need of the local share."""
        since = self.requests[0].since if self.requests else 0.0
        self.local_share.need = Need(self.cost, 0, since)
        if not self.requests:
            self.local_share.mark_answered()
