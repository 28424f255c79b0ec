"""Estimates of service times from finished uses of grants."""

from thornlatch.dispatch._settings import DispatchSettings


class MovingAverage:
    """Exponentially weighted moving average.

    The first samples weigh more, so that the average doesn't depend on a start value.

    Parameters
    ----------
    weight : float
        Weight of the newest sample once there are at least ``1 / weight`` samples.
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
    """Predicts how long requests hold their grants.

    Parameters
    ----------
    settings : DispatchSettings
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self.settings = settings
        self.duration = MovingAverage(settings.estimate_weight)
        self.tokens = MovingAverage(settings.estimate_weight)

    def add(self, estimated_tokens: float, duration_s: float) -> None:
        """Add a finished use of a grant.

        Parameters
        ----------
        estimated_tokens : float
            Estimated tokens of the request.
        duration_s : float
        """
        self.duration.add(duration_s)
        self.tokens.add(max(1.0, estimated_tokens))

    @property
    def grant_duration_s(self) -> float:
        """Mean time for which a grant is held, seconds."""
        if not self.duration.count:
            return self.settings.initial_service_s
        return max(1e-6, self.duration.value)

    @property
    def token_s(self) -> float:
        """Mean time per estimated token, seconds; 0 before the first use ends."""
        if not self.duration.count:
            return 0.0
        return self.grant_duration_s / self.tokens.value

    def predict(self, tokens: float) -> float:
        """Return the expected service time for estimated tokens, seconds."""
        return tokens * self.token_s
