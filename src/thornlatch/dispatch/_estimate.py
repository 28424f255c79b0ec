"""Estimates of service times from the answers of targets."""

from thornlatch.dispatch._settings import DispatchSettings


class MovingAverage:
    """Exponentially weighted moving average; the first samples weigh more.

    Parameters
    ----------
    weight : float
        Weight of the newest sample in the long run.
    """

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.count = 0
        self.value = 0.0

    def add(self, sample: float) -> None:
        """Add a sample."""
        self.count += 1
        weight = max(self.weight, 1.0 / self.count)
        self.value += weight * (sample - self.value)


class ServiceEstimate:
    """Predicts how long grants are held.

    Parameters
    ----------
    settings : DispatchSettings
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self.settings = settings
        self.duration = MovingAverage(settings.estimate_weight)
        self.tokens = MovingAverage(settings.estimate_weight)

    def add(self, asked_tokens: float, duration_s: float) -> None:
        """Count a finished use of a grant.

        Parameters
        ----------
        asked_tokens : float
            Tokens that the request had announced.
        duration_s : float
        """
        self.duration.add(duration_s)
        self.tokens.add(max(1.0, asked_tokens))

    @property
    def grant_duration_s(self) -> float:
        """Mean seconds for which a grant is held."""
        if not self.duration.count:
            return self.settings.initial_service_s
        return max(1e-6, self.duration.value)

    @property
    def token_s(self) -> float:
        """Mean seconds per announced token; 0 before the first answer."""
        if not self.duration.count:
            return 0.0
        return self.grant_duration_s / self.tokens.value

    def predict(self, tokens: float) -> float:
        """Return the expected seconds of service for announced tokens."""
        return tokens * self.token_s
